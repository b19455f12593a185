// Declared sizes corrected by use. Boost.Histogram stays in the source.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/model.h"

namespace monsoon {

// Jobs with the same class are expected to use alike: the team, the kind and the id without its
// digits, so that "curing-17" and "curing-18" are one class.
[[nodiscard]] std::string MakeSizeClass(const JobSpec& aSpec);

class SizeCorrector
{
public:
  SizeCorrector();
  ~SizeCorrector();
  SizeCorrector(SizeCorrector&&) noexcept;
  SizeCorrector& operator=(SizeCorrector&&) noexcept;

  // The peak use of one ended task.
  void Record(const std::string& aClass, const Resources& aDeclared, const Resources& aUsed);
  // Processors and memory by the 95th percentile of use over declaration, once there are enough
  // samples. Other dimensions stay as declared. Never below aInUse.
  [[nodiscard]] Resources Correct(const std::string& aClass,
                                  const Resources& aDeclared,
                                  const Resources& aInUse = {}) const;

private:
  struct Usage;
  std::map<std::string, std::unique_ptr<Usage>> mClasses;
};

}  // namespace monsoon
