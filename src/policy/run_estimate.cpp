#include "policy/run_estimate.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr std::size_t kMaxJobs = 1024;
constexpr int kWeight = 4;  // a new run counts one part in so many

}  // namespace

void RunEstimates::Record(const JobId& aJob, Duration aRan, TimePoint aNow)
{
  auto [it, fresh] = mSeen.try_emplace(aJob, Seen{ aRan, aNow });
  if (!fresh)
    it->second.mTypical += (aRan - it->second.mTypical) / kWeight;
  it->second.mLast = aNow;
  if (mSeen.size() > kMaxJobs)
    DropOldest();
}

void RunEstimates::DropOldest()
{
  const auto oldest =
    std::min_element(mSeen.begin(), mSeen.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mLast < aRight.second.mLast;
    });
  mSeen.erase(oldest);
}

Duration RunEstimates::Estimate(const JobId& aJob, Duration aDeclared) const
{
  const auto it = mSeen.find(aJob);
  return it == mSeen.end() ? aDeclared : it->second.mTypical;
}

}  // namespace monsoon
