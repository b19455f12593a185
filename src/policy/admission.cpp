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

Duration WaitEstimator::EstimateLeast(Priority aPriority, TimePoint aNow) const
{
  const auto& samples = mSamples[static_cast<std::size_t>(aPriority)];
  std::size_t n = 0;
  Duration least = Duration::max();
  for (const Sample& it : samples) {
    if (aNow - it.mAt > mSettings.mWindow)
      continue;
    least = std::min(least, it.mWaited);
    ++n;
  }
  return n < mSettings.mLeastSamples ? Duration::zero() : least;
}

bool WaitEstimator::MayStartInTime(Priority aPriority, Duration aTimeLeft, TimePoint aNow) const
{
  return aTimeLeft > Duration::zero() && EstimateLeast(aPriority, aNow) < aTimeLeft;
}

}  // namespace monsoon
