// Admission by deadline: a request that can't start in time is refused at once. Pure.
#pragma once

#include <array>
#include <deque>

#include "core/model.h"

namespace monsoon {

struct AdmissionSettings
{
  Duration mWindow = seconds(1);  // older waits say nothing: the system lets requests in again
  std::size_t mMinSamples = 8;    // fewer waits in the window prove nothing
  std::size_t mMaxSamples = 256;  // kept per class
};

// Recent waits for a slot, by priority class. The minWait of them is the estimate: a request is
// refused only when nobody of its class has waited less of late.
class WaitEstimator
{
public:
  explicit WaitEstimator(AdmissionSettings aSettings = {});

  // aWaited: until a slot was granted, or until the wait was given up.
  void Record(Priority aPriority, Duration aWaited, TimePoint aNow);
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
