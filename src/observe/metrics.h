// Counters, gauges and histograms of one node, rendered as Prometheus text. There is no global
// state: each node owns a Metrics. Any thread may record; counters and histograms are sharded by
// thread to reduce contention.
//
// Index
//   Counter, Gauge
//   Histogram      Boost.Histogram with a logarithmic axis
//   Metrics        named series
//   NodeMetrics    the series that every node has
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/errors.h"
#include "core/model.h"

namespace monsoon {

inline constexpr std::size_t kMetricShards = 8;

// Counter, Gauge
class Counter
{
public:
  void Add(std::uint64_t aCount = 1) noexcept;
  [[nodiscard]] std::uint64_t Read() const noexcept;

private:
  struct alignas(64) Shard
  {
    std::atomic<std::uint64_t> mCount = 0;
  };
  std::array<Shard, kMetricShards> mShards{};
};

class Gauge
{
public:
  void Set(double aValue) noexcept { mValue.store(aValue, std::memory_order_relaxed); }
  [[nodiscard]] double Read() const noexcept { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<double> mValue = 0;
};

// Histogram
struct HistogramBin
{
  double mLower = 0;  // the first bin starts at 0
  double mUpper = 0;  // the last bin ends at the largest value recorded
  std::uint64_t mCount = 0;
};

struct HistogramSnapshot  // merged over the shards
{
  std::vector<HistogramBin> mBins{};
  std::uint64_t mCount = 0;
  double mSum = 0;
  double mMax = 0;

  // aQuantile is in 0 … 1. Returns 0 when nothing was recorded.
  [[nodiscard]] double GetQuantile(double aQuantile) const;
};

class Histogram  // values from 1e-5 to 1e4 at 6% resolution; durations in seconds
{
public:
  Histogram();
  ~Histogram();
  void Record(double aValue);
  void Record(Duration aValue) { Record(std::chrono::duration<double>(aValue).count()); }
  [[nodiscard]] HistogramSnapshot Read() const;

private:
  struct Shard;
  std::unique_ptr<std::array<Shard, kMetricShards>> mShards;
};

// Metrics
class Metrics
{
public:
  // These return the series with this name and labels, and create it if needed. The reference is
  // valid as long as the Metrics. aLabels uses Prometheus syntax: `kind="batch",priority="low"`, or
  // empty.
  Counter& GetCounter(std::string_view aName, std::string_view aLabels = {});
  Gauge& GetGauge(std::string_view aName, std::string_view aLabels = {});
  Histogram& GetHistogram(std::string_view aName, std::string_view aLabels = {});

  [[nodiscard]] std::string Render() const;  // Prometheus text format

private:
  template<class T>
  using Family = std::map<std::string, std::unique_ptr<T>, std::less<>>;  // by labels
  template<class T>
  using Families = std::map<std::string, Family<T>, std::less<>>;  // by name

  template<class T>
  T& Find(Families<T>& aFamilies, std::string_view aName, std::string_view aLabels);

  mutable std::mutex mLock{};
  Families<Counter> mCounters{};
  Families<Gauge> mGauges{};
  Families<Histogram> mHistograms{};
};

// NodeMetrics
enum class WorkKind : std::uint8_t
{
  Request,
  Service,
  Batch,
  Gang,
  Watch
};
inline constexpr std::size_t kWorkKinds = 5;
inline constexpr std::size_t kPriorities = 3;

[[nodiscard]] WorkKind GetWorkKind(JobKind aKind) noexcept;

enum class DecisionKind : std::uint8_t
{
  Route,   // picks a worker for a request
  Place,   // picks workers for tasks
  Preempt  // picks tasks to preempt
};
inline constexpr std::size_t kDecisionKinds = 3;

class NodeMetrics
{
public:
  explicit NodeMetrics(Metrics& aMetrics);

  // aWaiting: from the arrival of the work until it is sent to an endpoint.
  void RecordWaiting(WorkKind aKind, Priority aPriority, Duration aWaiting);
  void RecordDecision(DecisionKind aKind, Duration aTook);
  void CountRefusal(FailureKind aReason);
  void CountOutcome(WorkKind aKind, Outcome aOutcome);
  void SetPacking(std::string_view aResource, double aShare);  // used ÷ capacity, 0 … 1
  void AddCrossZoneBytes(std::uint64_t aBytes) { mCrossZoneBytes.Add(aBytes); }
  void CountStoreCalls(std::string_view aPurpose, std::uint64_t aCalls = 1);

private:
  Metrics& mMetrics;
  std::array<std::array<Histogram*, kPriorities>, kWorkKinds> mWaiting{};
  std::array<Histogram*, kDecisionKinds> mDecisions{};
  Counter& mCrossZoneBytes;
};

}  // namespace monsoon
