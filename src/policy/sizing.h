// Corrects the declared size of tasks by the measured use of earlier ones. Only the source file
// includes Boost.Histogram.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/model.h"

namespace monsoon {

// Returns the class of a job; jobs of one class are expected to have similar use. It consists of
// the team, the kind and the id without digits, so that "curing-17" and "curing-18" are one class.
[[nodiscard]] std::string MakeSizeClass(const JobSpec& aSpec);

class SizeCorrector
{
public:
  SizeCorrector();
  ~SizeCorrector();
  SizeCorrector(SizeCorrector&&) noexcept;
  SizeCorrector& operator=(SizeCorrector&&) noexcept;

  // Records the peak use of a task that ended.
  void Record(const std::string& aClass, const Resources& aDeclared, const Resources& aUsed);
  // Returns aDeclared with processors and memory scaled by the 95th percentile of used over
  // declared resources, once the class has enough samples. Processors, memory and accelerators are
  // never below aInUse.
  [[nodiscard]] Resources Correct(const std::string& aClass,
                                  const Resources& aDeclared,
                                  const Resources& aInUse = {}) const;

private:
  struct Usage;
  std::map<std::string, std::unique_ptr<Usage>> mClasses;
};

}  // namespace monsoon
