// Admission control by deadline: refuses a request at once when it is not expected to get a slot
// before its deadline. Performs no I/O and reads no clock; the time is passed in.
#pragma once

#include <array>
#include <deque>

#include "core/model.h"

namespace monsoon {

struct AdmissionSettings
{
  Duration mWindow = seconds(1);  // older waits are ignored, so that requests are admitted again
  std::size_t mMinSamples = 8;    // with fewer waits in the window every request is admitted
  std::size_t mMaxSamples = 256;  // kept per priority class
};

// Recent waits for a slot, by priority class. The shortest one is the estimate: a request is
// refused only if every recent request of its class waited at least as long as this one has time
// left.
class WaitEstimator
{
public:
  explicit WaitEstimator(AdmissionSettings aSettings = {});

  // Records a wait that ended now, with a granted slot or because the request gave up.
  void Record(Priority aPriority, Duration aWaited, TimePoint aNow);
  // Returns the shortest recent wait; zero when there are too few samples.
  [[nodiscard]] Duration EstimateMinWait(Priority aPriority, TimePoint aNow) const;
  [[nodiscard]] bool MayStartInTime(Priority aPriority, Duration aTimeLeft, TimePoint aNow) const;

private:
  struct Sample
  {
    TimePoint mAt{};
    Duration mWaited{};
  };

  AdmissionSettings mSettings;
  std::array<std::deque<Sample>, 3> mSamples{};
};

}  // namespace monsoon
