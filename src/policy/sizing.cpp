#include "policy/sizing.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cctype>
#include <cmath>

namespace monsoon {

namespace {

namespace bh = boost::histogram;

using RatioAxis = bh::axis::regular<double, bh::axis::transform::log>;
using RatioHistogram = decltype(bh::make_histogram(RatioAxis(1, 0.1, 1.0)));

constexpr unsigned kBins = 40;
// Powers of two, so that a ratio of exactly 1 lies on the edge of a bin and is not rounded up.
constexpr double kMinRatio = 0.0625;
constexpr double kMaxRatio = 16;
constexpr double kEdgeShift = 0.999;  // moves values on an edge into the lower bin
constexpr double kQuantile = 0.95;
constexpr std::uint32_t kMinSamples = 8;
constexpr double kMinCorrection = 0.25;  // reports of use lag behind and may miss peaks

RatioHistogram MakeRatios()
{
  return bh::make_histogram(RatioAxis(kBins, kMinRatio, kMaxRatio));
}

// Returns the upper edge of the bin that holds the quantile.
double FindQuantile(const RatioHistogram& aRatios)
{
  const double total = bh::algorithm::sum(aRatios);
  double sum = 0;
  for (int i = -1; i <= static_cast<int>(kBins); ++i) {
    sum += aRatios.at(i);
    if (sum >= kQuantile * total)
      return std::min(aRatios.axis(0).value(i + 1), kMaxRatio);
  }
  return kMaxRatio;
}

std::int64_t Scale(std::int64_t aDeclared, const RatioHistogram& aRatios)
{
  const double ratio = std::max(FindQuantile(aRatios), kMinCorrection);
  return static_cast<std::int64_t>(std::ceil(static_cast<double>(aDeclared) * ratio));
}

void Fill(RatioHistogram& aRatios, std::int64_t aDeclared, std::int64_t aUsed)
{
  if (aDeclared > 0)
    aRatios(kEdgeShift * static_cast<double>(aUsed) / static_cast<double>(aDeclared));
}

}  // namespace

struct SizeCorrector::Usage
{
  RatioHistogram mCores = MakeRatios();
  RatioHistogram mMemory = MakeRatios();
  std::uint32_t mSamples = 0;
};

SizeCorrector::SizeCorrector() = default;
SizeCorrector::~SizeCorrector() = default;
SizeCorrector::SizeCorrector(SizeCorrector&&) noexcept = default;
SizeCorrector& SizeCorrector::operator=(SizeCorrector&&) noexcept = default;

std::string MakeSizeClass(const JobSpec& aSpec)
{
  std::string name = aSpec.mTeam + '/' + GetName(aSpec.mKind) + '/';
  for (const char c : aSpec.mId)
    if (std::isdigit(static_cast<unsigned char>(c)) == 0)
      name.push_back(c);
  return name;
}

void SizeCorrector::Record(const std::string& aClass,
                           const Resources& aDeclared,
                           const Resources& aUsed)
{
  // All zero means that the worker did not measure the use, not that nothing was used.
  if (aUsed == Resources{})
    return;
  auto& usage = mClasses[aClass];
  if (!usage)
    usage = std::make_unique<Usage>();
  Fill(usage->mCores, aDeclared.mMilliCores, aUsed.mMilliCores);
  Fill(usage->mMemory, aDeclared.mMemoryMiB, aUsed.mMemoryMiB);
  ++usage->mSamples;
}

Resources SizeCorrector::Correct(const std::string& aClass,
                                 const Resources& aDeclared,
                                 const Resources& aInUse) const
{
  Resources size = aDeclared;
  auto it = mClasses.find(aClass);
  if (it != mClasses.end() && it->second->mSamples >= kMinSamples) {
    size.mMilliCores = Scale(aDeclared.mMilliCores, it->second->mCores);
    size.mMemoryMiB = Scale(aDeclared.mMemoryMiB, it->second->mMemory);
  }
  size.mMilliCores = std::max(size.mMilliCores, aInUse.mMilliCores);
  size.mMemoryMiB = std::max(size.mMemoryMiB, aInUse.mMemoryMiB);
  size.mAccelerators = std::max(size.mAccelerators, aInUse.mAccelerators);
  return size;
}

}  // namespace monsoon
