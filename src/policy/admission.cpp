#include "policy/admission.h"

#include <algorithm>

namespace monsoon {

WaitEstimator::WaitEstimator(AdmissionSettings aSettings)
  : mSettings(aSettings)
{
}

void WaitEstimator::Record(Priority aPriority, Duration aWaited, TimePoint aNow)
{
  auto& samples = mSamples[static_cast<std::size_t>(aPriority)];
  samples.push_back({ aNow, aWaited });
  while (samples.size() > mSettings.mMaxSamples || aNow - samples.front().mAt > mSettings.mWindow)
    samples.pop_front();
}

Duration WaitEstimator::EstimateMinWait(Priority aPriority, TimePoint aNow) const
{
  const auto& samples = mSamples[static_cast<std::size_t>(aPriority)];
  std::size_t n = 0;
  Duration minWait = Duration::max();
  for (const Sample& it : samples) {
    if (aNow - it.mAt > mSettings.mWindow)
      continue;
    minWait = std::min(minWait, it.mWaited);
    ++n;
  }
  return n < mSettings.mMinSamples ? Duration::zero() : minWait;
}

bool WaitEstimator::MayStartInTime(Priority aPriority, Duration aTimeLeft, TimePoint aNow) const
{
  return aTimeLeft > Duration::zero() && EstimateMinWait(aPriority, aNow) < aTimeLeft;
}

}  // namespace monsoon
