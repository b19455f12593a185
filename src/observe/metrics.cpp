#include "observe/metrics.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace monsoon {

namespace bh = boost::histogram;

namespace {

constexpr double kMinValue = 1e-5;
constexpr double kMaxValue = 1e4;
constexpr unsigned kBins = 360;
constexpr std::size_t kBinsPerBucket = 8;  // Prometheus buckets are coarser than the bins

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using BoostHistogram =
  decltype(bh::make_histogram_with(bh::dense_storage<std::uint64_t>{}, Axis(1, 1.0, 2.0)));

BoostHistogram MakeBoostHistogram()
{
  return bh::make_histogram_with(bh::dense_storage<std::uint64_t>{},
                                 Axis(kBins, kMinValue, kMaxValue));
}

std::size_t PickShard() noexcept
{
  static std::atomic<std::size_t> next = 0;
  thread_local const std::size_t kShard = next++ % kMetricShards;
  return kShard;
}

void AppendNumber(std::string& aOut, double aValue)
{
  char buf[32];
  constexpr int kDigits = 9;
  const auto end =
    std::to_chars(std::begin(buf), std::end(buf), aValue, std::chars_format::general, kDigits).ptr;
  aOut.append(std::begin(buf), end);
}

void AppendSeries(std::string& aOut, std::string_view aName, std::string_view aLabels)
{
  aOut += aName;
  if (!aLabels.empty()) {
    aOut += '{';
    aOut += aLabels;
    aOut += '}';
  }
  aOut += ' ';
}

void AppendType(std::string& aOut, std::string_view aName, std::string_view aType)
{
  aOut += "# TYPE ";
  aOut += aName;
  aOut += ' ';
  aOut += aType;
  aOut += '\n';
}

void AppendBucket(std::string& aOut,
                  std::string_view aName,
                  std::string_view aLabels,
                  std::string_view aBound,
                  std::uint64_t aCount)
{
  std::string labels(aLabels);
  if (!labels.empty())
    labels += ',';
  labels += "le=\"";
  labels += aBound;
  labels += '"';
  AppendSeries(aOut, std::string(aName) + "_bucket", labels);
  aOut += std::to_string(aCount);
  aOut += '\n';
}

void AppendHistogram(std::string& aOut,
                     std::string_view aName,
                     std::string_view aLabels,
                     const HistogramSnapshot& aView)
{
  std::uint64_t below = 0;
  for (std::size_t i = 0; i + 1 < aView.mBins.size(); ++i) {
    below += aView.mBins[i].mCount;
    if (i % kBinsPerBucket != 0)
      continue;
    std::string bound;
    AppendNumber(bound, aView.mBins[i].mUpper);
    AppendBucket(aOut, aName, aLabels, bound, below);
  }
  AppendBucket(aOut, aName, aLabels, "+Inf", aView.mCount);
  AppendSeries(aOut, std::string(aName) + "_sum", aLabels);
  AppendNumber(aOut, aView.mSum);
  aOut += '\n';
  AppendSeries(aOut, std::string(aName) + "_count", aLabels);
  aOut += std::to_string(aView.mCount);
  aOut += '\n';
}

}  // namespace

// Counter

void Counter::Add(std::uint64_t aCount) noexcept
{
  mShards[PickShard()].mCount.fetch_add(aCount, std::memory_order_relaxed);
}

std::uint64_t Counter::Read() const noexcept
{
  std::uint64_t sum = 0;
  for (const Shard& it : mShards)
    sum += it.mCount.load(std::memory_order_relaxed);
  return sum;
}

// Histogram

struct Histogram::Shard
{
  std::mutex mLock{};
  BoostHistogram mHistogram = MakeBoostHistogram();
  double mSum = 0;
  double mMax = 0;
};

Histogram::Histogram()
  : mShards(std::make_unique<std::array<Shard, kMetricShards>>())
{
}

Histogram::~Histogram() = default;

void Histogram::Record(double aValue)
{
  const double value = std::isfinite(aValue) ? std::max(aValue, 0.0) : 0.0;
  Shard& shard = (*mShards)[PickShard()];
  std::lock_guard lock(shard.mLock);
  shard.mHistogram(value);
  shard.mSum += value;
  shard.mMax = std::max(shard.mMax, value);
}

HistogramSnapshot Histogram::Read() const
{
  HistogramSnapshot view;
  BoostHistogram merged = MakeBoostHistogram();
  for (Shard& it : *mShards) {
    std::lock_guard lock(it.mLock);
    merged += it.mHistogram;
    view.mSum += it.mSum;
    view.mMax = std::max(view.mMax, it.mMax);
  }
  const Axis& axis = merged.axis();
  for (int i = -1; i <= axis.size(); ++i) {
    HistogramBin bin;
    bin.mLower = i < 0 ? 0.0 : axis.value(i);
    bin.mUpper = i < axis.size() ? axis.value(i + 1) : std::max(view.mMax, kMaxValue);
    bin.mCount = merged.at(i);
    view.mCount += bin.mCount;
    view.mBins.push_back(bin);
  }
  return view;
}

double HistogramSnapshot::GetQuantile(double aQuantile) const
{
  if (mCount == 0)
    return 0;
  const double rank = std::clamp(aQuantile, 0.0, 1.0) * static_cast<double>(mCount);
  double below = 0;
  for (const HistogramBin& it : mBins) {
    const auto count = static_cast<double>(it.mCount);
    if (count > 0 && below + count >= rank) {
      const double fraction = (rank - below) / count;
      return std::min(it.mLower + fraction * (it.mUpper - it.mLower), mMax);
    }
    below += count;
  }
  return mMax;
}

// Metrics

template<class T>
T& Metrics::Find(Families<T>& aFamilies, std::string_view aName, std::string_view aLabels)
{
  std::lock_guard lock(mLock);
  auto family = aFamilies.find(aName);
  if (family == aFamilies.end())
    family = aFamilies.emplace(aName, Family<T>()).first;
  auto it = family->second.find(aLabels);
  if (it == family->second.end())
    it = family->second.emplace(aLabels, std::make_unique<T>()).first;
  return *it->second;
}

Counter& Metrics::GetCounter(std::string_view aName, std::string_view aLabels)
{
  return Find(mCounters, aName, aLabels);
}

Gauge& Metrics::GetGauge(std::string_view aName, std::string_view aLabels)
{
  return Find(mGauges, aName, aLabels);
}

Histogram& Metrics::GetHistogram(std::string_view aName, std::string_view aLabels)
{
  return Find(mHistograms, aName, aLabels);
}

std::string Metrics::Render() const
{
  std::string out;
  std::lock_guard lock(mLock);
  for (const auto& [name, family] : mCounters) {
    AppendType(out, name, "counter");
    for (const auto& [labels, counter] : family) {
      AppendSeries(out, name, labels);
      out += std::to_string(counter->Read());
      out += '\n';
    }
  }
  for (const auto& [name, family] : mGauges) {
    AppendType(out, name, "gauge");
    for (const auto& [labels, gauge] : family) {
      AppendSeries(out, name, labels);
      AppendNumber(out, gauge->Read());
      out += '\n';
    }
  }
  for (const auto& [name, family] : mHistograms) {
    AppendType(out, name, "histogram");
    for (const auto& [labels, distribution] : family)
      AppendHistogram(out, name, labels, distribution->Read());
  }
  return out;
}

// NodeMetrics

namespace {

constexpr std::string_view kWorkNames[kWorkKinds] = { "request",
                                                      "service",
                                                      "batch",
                                                      "gang",
                                                      "watch" };
constexpr std::string_view kDecisionNames[kDecisionKinds] = { "route", "place", "preempt" };

std::string MakeLabel(std::string_view aKey, std::string_view aValue)
{
  return std::string(aKey) + "=\"" + std::string(aValue) + '"';
}

}  // namespace

WorkKind GetWorkKind(JobKind aKind) noexcept
{
  return static_cast<WorkKind>(static_cast<std::uint8_t>(aKind) + 1);
}

NodeMetrics::NodeMetrics(Metrics& aMetrics)
  : mMetrics(aMetrics)
  , mCrossZoneBytes(aMetrics.GetCounter("monsoonstage_cross_zone_bytes_total"))
{
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind)
    for (std::size_t priority = 0; priority < kPriorities; ++priority)
      mWaiting[kind][priority] =
        &mMetrics.GetHistogram("monsoonstage_waiting_seconds",
                               MakeLabel("kind", kWorkNames[kind]) + "," +
                                 MakeLabel("priority", GetName(static_cast<Priority>(priority))));
  for (std::size_t kind = 0; kind < kDecisionKinds; ++kind)
    mDecisions[kind] = &mMetrics.GetHistogram("monsoonstage_decision_seconds",
                                              MakeLabel("decision", kDecisionNames[kind]));
}

void NodeMetrics::RecordWaiting(WorkKind aKind, Priority aPriority, Duration aWaiting)
{
  mWaiting[static_cast<std::size_t>(aKind)][static_cast<std::size_t>(aPriority)]->Record(aWaiting);
}

void NodeMetrics::RecordDecision(DecisionKind aKind, Duration aTook)
{
  mDecisions[static_cast<std::size_t>(aKind)]->Record(aTook);
}

void NodeMetrics::CountRefusal(FailureKind aReason)
{
  mMetrics.GetCounter("monsoonstage_refusals_total", MakeLabel("reason", GetName(aReason))).Add();
}

void NodeMetrics::CountOutcome(WorkKind aKind, Outcome aOutcome)
{
  const std::string labels = MakeLabel("kind", kWorkNames[static_cast<std::size_t>(aKind)]) + "," +
                             MakeLabel("outcome", GetName(aOutcome));
  mMetrics.GetCounter("monsoonstage_outcomes_total", labels).Add();
}

void NodeMetrics::SetPacking(std::string_view aResource, double aShare)
{
  mMetrics.GetGauge("monsoonstage_packing_ratio", MakeLabel("resource", aResource)).Set(aShare);
}

void NodeMetrics::CountStoreCalls(std::string_view aPurpose, std::uint64_t aCalls)
{
  mMetrics.GetCounter("monsoonstage_store_calls_total", MakeLabel("purpose", aPurpose)).Add(aCalls);
}

}  // namespace monsoon
