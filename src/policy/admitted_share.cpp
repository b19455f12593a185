#include "policy/admitted_share.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr double kUnknownShare = 0.25;
constexpr double kUnknownWeight = 60;  // workers named that it counts as
constexpr double kMaxWeight = 2000;    // earlier calls count less and less beyond as many
constexpr double kMinShare = 0.05;

}  // namespace

void AdmittedShares::Record(const std::string& aQueue, std::size_t aNamed, std::size_t aAdmitted)
{
  Counts& it = mCounts[aQueue];
  it.mNamed += double(aNamed);
  it.mAdmitted += double(std::min(aNamed, aAdmitted));
  if (it.mNamed <= kMaxWeight)
    return;
  it.mAdmitted *= kMaxWeight / it.mNamed;
  it.mNamed = kMaxWeight;
}

double AdmittedShares::Get(const std::string& aQueue) const
{
  const auto it = mCounts.find(aQueue);
  const Counts known = it == mCounts.end() ? Counts() : it->second;
  const double share =
    (known.mAdmitted + kUnknownShare * kUnknownWeight) / (known.mNamed + kUnknownWeight);
  return std::max(share, kMinShare);
}

}  // namespace monsoon
