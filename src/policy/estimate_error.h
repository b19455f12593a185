// Learns by how much callers' estimates of run times are wrong, by kind of task. A deadline or a
// check that trusts an estimate which is too short by factors stops runs that are well.
#pragma once

#include <map>
#include <string>

#include "core/time.h"

namespace monsoon {

class EstimateErrors
{
public:
  // Records that a task of this kind took aRan, on a worker of usual speed.
  void Record(const std::string& aKind, Duration aEstimate, Duration aRan);
  // Returns the factor by which few run times exceed their estimate; 1 while little is known.
  [[nodiscard]] double GetUpperFactor(const std::string& aKind) const;

private:
  struct Errors  // logarithms of run time / estimate
  {
    double mMean = 0;
    double mVariance = 0;
    double mWeight = 0;
  };
  std::map<std::string, Errors> mErrors{};
};

}  // namespace monsoon
