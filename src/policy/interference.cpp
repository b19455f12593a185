#include "policy/interference.h"

#include <algorithm>
#include <cmath>

namespace monsoon {

namespace {

constexpr double kMemoryMs = 8000;  // after this time a sample counts e times less
constexpr std::size_t kMaxServing = 256;
constexpr std::size_t kMaxNeighbors = 32;  // of one image of serving tasks
constexpr Duration kForgetAfter = seconds(30);
constexpr double kMaxTail = 3;  // a single reading beyond it counts as this
// Variance of readings over that of effects between images. Estimates from few samples are drawn
// towards zero by it.
constexpr double kRidge = 0.15;
constexpr double kMinContrast = 0.6;  // one sample with a neighbor at full load, two without it
constexpr double kMinOwnWeight = 1;   // samples

double GetDecay(const DecayingSums& aSums, TimePoint aNow)
{
  const Duration age = std::max(Duration::zero(), aNow - aSums.mUpdatedAt);
  return std::exp(-std::chrono::duration<double, std::milli>(age).count() / kMemoryMs);
}

void AddSample(DecayingSums& aSums, double aLoad, double aTail, TimePoint aNow)
{
  const double decay = GetDecay(aSums, aNow);
  aSums.mWeight = decay * aSums.mWeight + 1;
  aSums.mLoad = decay * aSums.mLoad + aLoad;
  aSums.mTail = decay * aSums.mTail + aTail;
  aSums.mLoadSquared = decay * aSums.mLoadSquared + aLoad * aLoad;
  aSums.mLoadTail = decay * aSums.mLoadTail + aLoad * aTail;
  aSums.mUpdatedAt = aNow;
}

double GetContrast(const DecayingSums& aSums)  // sum of squared deviations of the load
{
  return aSums.mWeight > 0 ? aSums.mLoadSquared - aSums.mLoad * aSums.mLoad / aSums.mWeight : 0;
}

double GetSlope(const DecayingSums& aSums)
{
  if (aSums.mWeight <= 0)
    return 0;
  const double shared = aSums.mLoadTail - aSums.mLoad * aSums.mTail / aSums.mWeight;
  return std::max(0.0, shared / (std::max(0.0, GetContrast(aSums)) + kRidge));
}

// Drops the entries that were not seen for long and, if there is no room for a new one, the
// stalest.
template<class Map>
void MakeRoom(Map& aMap, std::size_t aMost, TimePoint aNow)
{
  std::erase_if(aMap,
                [&](const auto& aItem) { return aNow - aItem.second.mSeenAt > kForgetAfter; });
  if (aMap.size() < aMost)
    return;
  aMap.erase(std::min_element(aMap.begin(), aMap.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.second.mSeenAt < aRight.second.mSeenAt;
  }));
}

template<class Map>
auto& FindOrAdd(Map& aMap, std::string_view aKey, std::size_t aMost, TimePoint aNow)
{
  auto it = aMap.find(aKey);
  if (it == aMap.end()) {
    MakeRoom(aMap, aMost, aNow);
    it = aMap.try_emplace(std::string(aKey)).first;
  }
  it->second.mSeenAt = aNow;
  return it->second;
}

double SumLoad(std::span<const NeighborLoad> aBeside, std::string_view aImage)
{
  double sum = 0;
  for (const NeighborLoad& it : aBeside)
    sum += it.mImage == aImage ? it.mLoad : 0;
  return sum;
}

}  // namespace

void ObserveTail(InterferenceTable& aTable,
                 std::string_view aServing,
                 double aTail,
                 std::span<const NeighborLoad> aBeside,
                 TimePoint aNow)
{
  ServingRecord& record = FindOrAdd(aTable.mServing, aServing, kMaxServing, aNow);
  for (const NeighborLoad& it : aBeside)
    FindOrAdd(record.mNeighbors, it.mImage, kMaxNeighbors, aNow);
  const double tail = std::clamp(aTail, 0.0, kMaxTail);
  double explained = 0;  // by all neighbors
  for (const auto& [image, effect] : record.mNeighbors)
    explained += GetSlope(effect.mSums) * SumLoad(aBeside, image);
  // Each neighbor is compared on what the others leave unexplained. Its absence is a sample, too.
  for (auto& [image, effect] : record.mNeighbors) {
    const double load = SumLoad(aBeside, image);
    const double others = explained - GetSlope(effect.mSums) * load;
    AddSample(effect.mSums, load, tail - others, aNow);
  }
  AddSample(record.mOwn, 0, std::max(0.0, tail - explained), aNow);
}

std::optional<double> EstimateRise(const InterferenceTable& aTable,
                                   std::string_view aServing,
                                   std::string_view aNeighbor,
                                   TimePoint aNow)
{
  const auto serving = aTable.mServing.find(aServing);
  if (serving == aTable.mServing.end())
    return {};
  const auto it = serving->second.mNeighbors.find(aNeighbor);
  if (it == serving->second.mNeighbors.end())
    return {};
  const DecayingSums& sums = it->second.mSums;
  if (GetDecay(sums, aNow) * GetContrast(sums) < kMinContrast)
    return {};
  return GetSlope(sums);
}

std::optional<double> EstimateOwnTail(const InterferenceTable& aTable,
                                      std::string_view aServing,
                                      TimePoint aNow)
{
  const auto it = aTable.mServing.find(aServing);
  if (it == aTable.mServing.end() ||
      GetDecay(it->second.mOwn, aNow) * it->second.mOwn.mWeight < kMinOwnWeight)
    return {};
  return it->second.mOwn.mTail / it->second.mOwn.mWeight;
}

std::size_t CountPairs(const InterferenceTable& aTable)
{
  std::size_t pairs = 0;
  for (const auto& [image, record] : aTable.mServing)
    pairs += record.mNeighbors.size();
  return pairs;
}

}  // namespace monsoon
