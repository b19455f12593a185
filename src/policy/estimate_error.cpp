#include "policy/estimate_error.h"

#include <algorithm>
#include <cmath>

namespace monsoon {

namespace {

constexpr double kMaxWeight = 200;   // earlier records count less and less beyond as many
constexpr double kMinWeight = 8;     // records that a spread can be told from
constexpr double kDeviations = 1.6;  // exceeded by one in twenty
constexpr std::size_t kMaxKinds = 1024;

}  // namespace

void EstimateErrors::Record(const std::string& aKind, Duration aEstimate, Duration aRan)
{
  if (aEstimate <= Duration::zero() || aRan <= Duration::zero())
    return;
  if (mErrors.size() >= kMaxKinds && !mErrors.contains(aKind))
    return;
  const double error = std::log(double(aRan.count()) / double(aEstimate.count()));
  Errors& it = mErrors[aKind];
  it.mWeight = std::min(it.mWeight + 1, kMaxWeight);
  const double deviation = error - it.mMean;
  it.mMean += deviation / it.mWeight;
  it.mVariance += (deviation * (error - it.mMean) - it.mVariance) / it.mWeight;
}

double EstimateErrors::GetUpperFactor(const std::string& aKind) const
{
  const auto it = mErrors.find(aKind);
  if (it == mErrors.end() || it->second.mWeight < kMinWeight)
    return 1;
  return std::max(1.0, std::exp(it->second.mMean + kDeviations * std::sqrt(it->second.mVariance)));
}

}  // namespace monsoon
