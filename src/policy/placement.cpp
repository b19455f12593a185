#include "policy/placement.h"

#include <algorithm>
#include <map>

namespace monsoon {

namespace {

// Resources are scored as shares of one large VM, so that scores of different VM sizes are
// comparable.
constexpr double kUnitMilliCores = 64000;
constexpr double kUnitMemoryMiB = 262144;
constexpr double kUnitAccelerators = 8;
// Penalties exceed any fit score, and each one outweighs the one below it.
constexpr double kAcceleratorPenalty = 100;
constexpr double kFailurePenalty = 50;
constexpr double kSpreadPenalty = 10;

enum class FitClass : std::uint8_t
{
  Fits,
  FullNow,
  NeverFits,
  Excluded
};

bool HasRightAccelerator(const WorkerView& aWorker, const TaskShape& aShape)
{
  return aShape.mNeed.mAccelerators == 0 || aShape.mAcceleratorType.empty() ||
         aShape.mAcceleratorType == aWorker.mSpec.mAcceleratorType;
}

bool IsAvoided(const WorkerView& aWorker, const TaskShape& aShape)
{
  return std::ranges::find(aShape.mAvoid, aWorker.mSpec.mName) != aShape.mAvoid.end();
}

// NeverFits is checked before Excluded, so that a job that fits no worker is reported as such even
// while workers are excluded.
FitClass ClassifyWorker(const WorkerView& aWorker, const TaskShape& aShape)
{
  if (!Fits(aShape.mNeed, aWorker.mSpec.mCapacity) || !HasRightAccelerator(aWorker, aShape))
    return FitClass::NeverFits;
  if (aWorker.mExcluded || !aWorker.mKnown || aWorker.mSpec.mLeaving || IsAvoided(aWorker, aShape))
    return FitClass::Excluded;
  return Fits(aShape.mNeed, aWorker.mFree) ? FitClass::Fits : FitClass::FullNow;
}

double Square(double aValue) noexcept
{
  return aValue * aValue;
}

struct Candidate
{
  double mScore = 0;
  std::size_t mIndex = 0;
};

bool IsBetter(const Candidate& aLeft, const Candidate& aRight) noexcept
{
  return aLeft.mScore != aRight.mScore ? aLeft.mScore < aRight.mScore
                                       : aLeft.mIndex < aRight.mIndex;
}

Offer MakeOffer(const WorkerView& aWorker, const TaskShape& aShape, double aScore)
{
  Offer offer;
  offer.mWorker = aWorker.mSpec.mName;
  offer.mZone = aWorker.mSpec.mZone;
  offer.mRack = aWorker.mSpec.mRack;
  offer.mCount = CountFits(aShape.mNeed, aWorker.mFree);
  offer.mScore = aScore;
  return offer;
}

// Counts the tasks chosen so far by zone and rack.
class SpreadCounter
{
public:
  explicit SpreadCounter(const TaskShape& aShape)
    : mShape(aShape)
  {
  }

  [[nodiscard]] std::uint32_t CountSharedDomains(const Offer& aOffer) const
  {
    std::uint32_t n = 0;
    if (mShape.mSpreadZones)
      n += Find(mZones, aOffer.mZone) * 1024;
    if (mShape.mSpreadRacks)
      n += Find(mRacks, aOffer.mZone + '/' + aOffer.mRack);
    return n;
  }

  void Add(const Offer& aOffer)
  {
    ++mZones[aOffer.mZone];
    ++mRacks[aOffer.mZone + '/' + aOffer.mRack];
  }

private:
  using Counts = std::map<std::string, std::uint32_t>;
  static std::uint32_t Find(const Counts& aCounts, const std::string& aKey)
  {
    auto it = aCounts.find(aKey);
    return it == aCounts.end() ? 0 : it->second;
  }

  const TaskShape& mShape;
  Counts mZones{};
  Counts mRacks{};
};

std::vector<Offer> ChoosePacked(std::vector<Offer> aSorted, std::uint32_t aCount)
{
  std::vector<Offer> chosen;
  for (Offer& it : aSorted) {
    if (aCount == 0)
      break;
    it.mCount = std::min(it.mCount, aCount);
    if (it.mCount == 0)
      continue;
    aCount -= it.mCount;
    chosen.push_back(std::move(it));
  }
  return chosen;
}

std::vector<Offer> ChooseSpread(std::vector<Offer> aSorted,
                                const TaskShape& aShape,
                                std::uint32_t aCount)
{
  SpreadCounter counter(aShape);
  std::vector<std::uint32_t> taken(aSorted.size(), 0);
  for (; aCount > 0; --aCount) {
    std::size_t best = aSorted.size();
    std::pair<std::uint32_t, std::uint32_t> bestKey{};
    for (std::size_t i = 0; i < aSorted.size(); ++i) {
      if (taken[i] == aSorted[i].mCount)
        continue;
      const std::pair key{ counter.CountSharedDomains(aSorted[i]), taken[i] };
      if (best != aSorted.size() && bestKey <= key)
        continue;
      best = i;
      bestKey = key;
    }
    if (best == aSorted.size())
      break;
    ++taken[best];
    counter.Add(aSorted[best]);
  }
  std::vector<Offer> chosen;
  for (std::size_t i = 0; i < aSorted.size(); ++i) {
    if (taken[i] == 0)
      continue;
    aSorted[i].mCount = taken[i];
    chosen.push_back(std::move(aSorted[i]));
  }
  return chosen;
}

}  // namespace

// The squared distance between the free and the needed resources. The dimension with the largest
// remainder counts most, so the scarce dimension decides and no VM is left with one dimension full
// and another idle.
double ScoreFit(const WorkerView& aWorker, const TaskShape& aShape) noexcept
{
  const Resources left = Subtract(aWorker.mFree, aShape.mNeed);
  double score = Square(static_cast<double>(left.mMilliCores) / kUnitMilliCores) +
                 Square(static_cast<double>(left.mMemoryMiB) / kUnitMemoryMiB) +
                 Square(static_cast<double>(left.mAccelerators) / kUnitAccelerators);
  if (aShape.mNeed.mAccelerators == 0 && aWorker.mSpec.mCapacity.mAccelerators > 0)
    score += kAcceleratorPenalty;
  if (aShape.mSpreadZones || aShape.mSpreadRacks)
    score += kSpreadPenalty * std::min<std::uint32_t>(aWorker.mTasksOfJob, 4);
  return score + kFailurePenalty * aWorker.mFailureRate;
}

std::uint32_t CountFits(const Resources& aNeed, const Resources& aFree) noexcept
{
  std::int64_t n = 1 << 20;  // bounds tasks that need no resources
  const auto limit = [&n](std::int64_t aWant, std::int64_t aHave) {
    if (aWant > 0)
      n = std::min(n, aHave / aWant);
  };
  limit(aNeed.mMilliCores, aFree.mMilliCores);
  limit(aNeed.mMemoryMiB, aFree.mMemoryMiB);
  limit(aNeed.mAccelerators, aFree.mAccelerators);
  limit(aNeed.mSlots, aFree.mSlots);
  limit(aNeed.mConnections, aFree.mConnections);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(n, 0));
}

FitReply RankWorkers(std::span<const WorkerView> aWorkers,
                     const TaskShape& aShape,
                     std::uint32_t aCount)
{
  FitReply reply;
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    switch (ClassifyWorker(aWorkers[i], aShape)) {
      case FitClass::Fits:
        candidates.push_back({ ScoreFit(aWorkers[i], aShape), i });
        break;
      case FitClass::FullNow:
        ++reply.mFullNow;
        break;
      case FitClass::NeverFits:
        ++reply.mNeverFits;
        break;
      case FitClass::Excluded:
        ++reply.mExcluded;
        break;
    }
  }
  const bool spread = aShape.mSpreadZones || aShape.mSpreadRacks;
  const std::size_t wanted = spread ? kMaxOffers : std::min<std::size_t>(aCount, kMaxOffers);
  const std::size_t n = std::min(wanted, candidates.size());
  std::ranges::partial_sort(
    candidates, candidates.begin() + static_cast<std::ptrdiff_t>(n), IsBetter);
  for (std::size_t i = 0; i < n; ++i)
    reply.mOffers.push_back(
      MakeOffer(aWorkers[candidates[i].mIndex], aShape, candidates[i].mScore));
  return reply;
}

std::vector<Offer> ChooseOffers(std::span<const Offer> aOffers,
                                const TaskShape& aShape,
                                std::uint32_t aCount)
{
  std::vector<Offer> sorted(aOffers.begin(), aOffers.end());
  std::ranges::stable_sort(sorted, {}, &Offer::mScore);
  if (aShape.mSpreadZones || aShape.mSpreadRacks)
    return ChooseSpread(std::move(sorted), aShape, aCount);
  return ChoosePacked(std::move(sorted), aCount);
}

std::size_t PlaceFirstFit(std::span<const WorkerView> aWorkers, const TaskShape& aShape)
{
  for (std::size_t i = 0; i < aWorkers.size(); ++i)
    if (ClassifyWorker(aWorkers[i], aShape) == FitClass::Fits)
      return i;
  return aWorkers.size();
}

}  // namespace monsoon
