// Packing of a recorded mix with unlike VMs: the online policy over several owners against first
// fit and against an offline best-fit-decreasing of the same set.
//
//   bench_packing [--trace FILE] [--json]
//   bench_packing --write FILE [--seed N]     records a new trace
#include <algorithm>
#include <iostream>
#include <map>
#include <numeric>

#include "bench/packing_trace.h"
#include "controllers/job_table.h"

using namespace monsoon;
using namespace monsoon::bench;

namespace {

constexpr std::size_t kOwners = 8;
constexpr std::size_t kWorkers = 50;
constexpr double kDemand = 1.0;  // of the scarcer of cores and memory

struct Packing
{
  std::string mName{};
  double mCores = 0;   // share of all cores that is given
  double mMemory = 0;  // share of all memory that is given
  std::size_t mTasks = 0;
  std::size_t mGangs = 0;  // placed whole
  [[nodiscard]] double GetPacking() const { return (mCores + mMemory) / 2; }
};

using Fleet = std::vector<WorkerView>;

Resources SumFree(const Fleet& aFleet)
{
  Resources sum;
  for (const WorkerView& it : aFleet)
    sum = Add(sum, it.mFree);
  return sum;
}

// Each owner ranks its own workers; the shard's owner merges.
std::size_t PlaceOnline(std::vector<Fleet>& aOwners, const TraceJob& aJob)
{
  std::vector<Offer> offers;
  for (const Fleet& fleet : aOwners) {
    const FitReply reply = RankWorkers(fleet, aJob.mShape, aJob.mTasks);
    offers.insert(offers.end(), reply.mOffers.begin(), reply.mOffers.end());
  }
  const auto chosen = ChooseOffers(offers, aJob.mShape, aJob.mTasks);
  std::size_t n = 0;
  for (const Offer& it : chosen)
    n += it.mCount;
  if (aJob.mShape.mKind == JobKind::Gang && n < aJob.mTasks)
    return 0;
  for (const Offer& it : chosen)
    for (Fleet& fleet : aOwners)
      for (WorkerView& worker : fleet)
        if (worker.mSpec.mName == it.mWorker)
          for (std::uint32_t i = 0; i < it.mCount; ++i)
            worker.mFree = Subtract(worker.mFree, aJob.mShape.mNeed);
  return n;
}

std::size_t PlaceFirst(std::vector<Fleet>& aOwners, const TraceJob& aJob)
{
  Fleet& fleet = aOwners.front();
  const Fleet before = fleet;
  std::size_t n = 0;
  for (; n < aJob.mTasks; ++n) {
    const std::size_t i = PlaceFirstFit(fleet, aJob.mShape);
    if (i == fleet.size())
      break;
    fleet[i].mFree = Subtract(fleet[i].mFree, aJob.mShape.mNeed);
  }
  if (aJob.mShape.mKind != JobKind::Gang || n == aJob.mTasks)
    return n;
  fleet = before;
  return 0;
}

template<class Place>
Packing Pack(std::string aName, const PackingTrace& aTrace, std::size_t aOwners, Place aPlace)
{
  std::vector<Fleet> owners(aOwners);
  for (std::size_t i = 0; i < aTrace.mWorkers.size(); ++i)
    owners[i % aOwners].push_back(aTrace.mWorkers[i]);
  Packing packing;
  packing.mName = std::move(aName);
  for (const TraceJob& it : aTrace.mJobs) {
    const std::size_t n = aPlace(owners, it);
    packing.mTasks += n;
    packing.mGangs += it.mShape.mKind == JobKind::Gang && n == it.mTasks ? 1 : 0;
  }
  const Resources all = SumFree(aTrace.mWorkers);
  Resources left;
  for (const Fleet& fleet : owners)
    left = Add(left, SumFree(fleet));
  const auto share = [](std::int64_t aLeft, std::int64_t aAll) {
    return 1.0 - static_cast<double>(aLeft) / static_cast<double>(aAll);
  };
  packing.mCores = share(left.mMilliCores, all.mMilliCores);
  packing.mMemory = share(left.mMemoryMiB, all.mMemoryMiB);
  return packing;
}

// The order in which a job table plans the same jobs when they are submitted together.
PackingTrace SortAsPlanned(const PackingTrace& aTrace)
{
  JobTable table;
  std::map<JobId, TraceJob> jobs;
  const TimePoint now = TimePoint{} + seconds(1000);
  Sequence at = 0;
  for (const TraceJob& it : aTrace.mJobs) {
    JobSpec spec;
    spec.mId = it.mShape.mJob;
    spec.mKind = it.mShape.mKind;
    spec.mTasks = it.mTasks;
    spec.mShape = it.mShape.mNeed;
    [[maybe_unused]] const auto effect = table.Apply(JobSubmitted{ spec }, ++at, now);
    jobs[spec.mId] = it;
  }
  PackingTrace planned;
  planned.mWorkers = aTrace.mWorkers;
  PlanContext context;
  context.mNow = now;
  context.mMaxTasks = 1000000;
  for (const PlannedGroup& it : table.PlanNext(context))
    planned.mJobs.push_back(jobs.at(it.mShape.mJob));
  return planned;
}

// Offline: gangs first, then single tasks by their dominant share, largest first.
PackingTrace SortDecreasing(const PackingTrace& aTrace)
{
  PackingTrace sorted;
  sorted.mWorkers = aTrace.mWorkers;
  for (const TraceJob& it : aTrace.mJobs) {
    const bool gang = it.mShape.mKind == JobKind::Gang;
    TraceJob part = it;
    part.mTasks = gang ? it.mTasks : 1;
    for (std::uint32_t i = 0; i < (gang ? 1 : it.mTasks); ++i)
      sorted.mJobs.push_back(part);
  }
  const auto size = [](const TraceJob& aJob) {
    const Resources& need = aJob.mShape.mNeed;
    return std::max(static_cast<double>(need.mMilliCores) / 64000,
                    static_cast<double>(need.mMemoryMiB) / 262144);
  };
  std::ranges::stable_sort(sorted.mJobs, [&](const TraceJob& aLeft, const TraceJob& aRight) {
    const bool leftGang = aLeft.mShape.mKind == JobKind::Gang;
    const bool rightGang = aRight.mShape.mKind == JobKind::Gang;
    return leftGang != rightGang ? leftGang : size(aLeft) > size(aRight);
  });
  return sorted;
}

std::string FindArgument(const std::vector<std::string>& aArguments, const std::string& aName)
{
  auto it = std::ranges::find(aArguments, aName);
  return it == aArguments.end() || it + 1 == aArguments.end() ? std::string() : *(it + 1);
}

void Print(const std::vector<Packing>& aPackings, std::size_t aGangs, bool aJson)
{
  const double offline = aPackings.front().GetPacking();
  if (aJson)
    std::cout << "[";
  else
    std::cout << "policy                 packing  of_offline  cores  memory  tasks  gangs\n";
  for (std::size_t i = 0; i < aPackings.size(); ++i) {
    const Packing& it = aPackings[i];
    const double ratio = it.GetPacking() / offline;
    if (aJson)
      std::cout << (i > 0 ? "," : "") << "{\"policy\":\"" << it.mName
                << "\",\"packing\":" << it.GetPacking() << ",\"of_offline\":" << ratio
                << ",\"tasks\":" << it.mTasks << ",\"gangs\":" << it.mGangs
                << ",\"all_gangs\":" << aGangs << "}";
    else
      std::printf("%-22s %7.4f  %10.4f  %5.3f  %6.3f  %5zu  %zu/%zu\n",
                  it.mName.c_str(),
                  it.GetPacking(),
                  ratio,
                  it.mCores,
                  it.mMemory,
                  it.mTasks,
                  it.mGangs,
                  aGangs);
  }
  if (aJson)
    std::cout << "]\n";
}

}  // namespace

int main(int aCount, char** aValues)
{
  const std::vector<std::string> arguments(aValues + 1, aValues + aCount);
  if (const std::string file = FindArgument(arguments, "--write"); !file.empty()) {
    const std::string seed = FindArgument(arguments, "--seed");
    WriteTrace(
      DrawTrace(kWorkers, kDemand, seed.empty() ? 1 : static_cast<unsigned>(std::stoul(seed))),
      file);
    return 0;
  }
  std::string file = FindArgument(arguments, "--trace");
  if (file.empty())
    file = "bench/traces/packing-1.txt";
  const PackingTrace trace = ReadTrace(file);
  if (trace.mWorkers.empty()) {
    std::cerr << "no trace in " << file << "\n";
    return 1;
  }
  const auto gangs = static_cast<std::size_t>(std::ranges::count_if(
    trace.mJobs, [](const TraceJob& aIt) { return aIt.mShape.mKind == JobKind::Gang; }));
  const std::vector<Packing> packings{
    Pack("best_fit_decreasing", SortDecreasing(trace), 1, PlaceOnline),
    Pack("planned", SortAsPlanned(trace), kOwners, PlaceOnline),
    Pack("in_order_of_arrival", trace, kOwners, PlaceOnline),
    Pack("first_fit", trace, 1, PlaceFirst),
  };
  const bool json = std::ranges::find(arguments, "--json") != arguments.end();
  Print(packings, gangs, json);
  return 0;
}
