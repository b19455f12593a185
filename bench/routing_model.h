// Load, figures and reference queues of bench_routing.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "core/time.h"

namespace monsoon::bench {

inline constexpr std::size_t kRunners = 50;
inline constexpr std::size_t kSlotsPerRunner = 8;
inline constexpr double kMeanServiceMs = 200;
inline constexpr double kSigma = 1;

struct Row
{
  std::string mRouting{};
  double mLoad = 0;
  double mP50 = 0;  // ms, as the next two
  double mP99 = 0;
  double mP999 = 0;
  double mCrossZoneBytes = 0;  // per request
  std::size_t mRequests = 0;
  std::size_t mNotRun = 0;  // no slot before the deadline
};

inline Duration PickService(std::mt19937_64& aRandom)
{
  const double mu = std::log(kMeanServiceMs) - kSigma * kSigma / 2;
  const double ms = std::lognormal_distribution<>(mu, kSigma)(aRandom);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

inline Duration PickGap(double aLoad, std::mt19937_64& aRandom)
{
  const double perMs = aLoad * kRunners * kSlotsPerRunner / kMeanServiceMs;
  const double ms = std::exponential_distribution<>(perMs)(aRandom);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

inline Row MakeRow(std::string aRouting, double aLoad, std::vector<double> aWaits)
{
  std::sort(aWaits.begin(), aWaits.end());
  const auto at = [&](double aShare) {
    return aWaits[static_cast<std::size_t>(static_cast<double>(aWaits.size() - 1) * aShare)];
  };
  Row row{ .mRouting = std::move(aRouting), .mLoad = aLoad };
  row.mP50 = at(0.5);
  row.mP99 = at(0.99);
  row.mP999 = at(0.999);
  row.mRequests = aWaits.size();
  return row;
}

inline double ToMs(Duration aValue)
{
  return std::chrono::duration<double, std::milli>(aValue).count();
}

// Queues without network or grants. aChoices runners are looked at, with fresh depths; 0: one queue
// that all slots share.
inline Row RunModel(const char* aName,
                    std::size_t aChoices,
                    double aLoad,
                    std::size_t aRequests,
                    std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const std::size_t queues = aChoices == 0 ? 1 : kRunners;
  const std::size_t slots = kRunners * kSlotsPerRunner / queues;
  using Ends = std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>;
  std::vector<Ends> busy(queues);    // when each slot is free, by queue
  std::vector<Ends> inside(queues);  // when each request leaves, those who wait included
  TimePoint now{};
  std::vector<double> waits;
  for (std::size_t n = 0; n < aRequests; ++n) {
    now += PickGap(aLoad, random);
    const auto countInside = [&](std::size_t aQueue) {
      while (!inside[aQueue].empty() && inside[aQueue].top() <= now)
        inside[aQueue].pop();
      return inside[aQueue].size();
    };
    std::size_t queue = random() % queues;
    for (std::size_t i = 1; i < aChoices; ++i) {
      const std::size_t other = random() % queues;
      queue = countInside(other) < countInside(queue) ? other : queue;
    }
    TimePoint start = now;
    if (busy[queue].size() >= slots) {
      start = std::max(now, busy[queue].top());
      busy[queue].pop();
    }
    const TimePoint end = start + PickService(random);
    busy[queue].push(end);
    inside[queue].push(end);
    if (n >= aRequests / 10)
      waits.push_back(ToMs(start - now));
  }
  return MakeRow(aName, aLoad, std::move(waits));
}

}  // namespace monsoon::bench
