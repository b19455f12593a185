// Decision time from one thread: plan, rank, choose, hold, journal effect, start, end. One task per
// placement; what a placement takes is given back later, so that the fleet stays about 80% full.
//
//   bench_decisions [--json] [--seconds N]
#include <algorithm>
#include <deque>
#include <iostream>

#include "bench/packing_trace.h"
#include "controllers/capacity_book.h"
#include "controllers/job_table.h"

using namespace monsoon;
using namespace monsoon::bench;

namespace {

constexpr std::size_t kSizes[] = { 50, 830, 19000 };
constexpr std::size_t kOwnedBy = 8;  // processes that share 50 workers
constexpr double kFill = 0.8;        // of the memory of the fleet

struct Figures
{
  std::size_t mWorkers = 0;
  std::string mPath{};
  double mPerSecond = 0;
  double mP50Us = 0;
  double mP99Us = 0;
};

struct Placed
{
  TaskKey mTask{};
  WorkerName mWorker{};
  Resources mNeed{};
};

Inventory MakeInventory()
{
  Inventory inventory;
  inventory.mIncarnation = "1";
  inventory.mHighestEpoch = 1;
  return inventory;
}

Figures Summarise(std::size_t aWorkers, std::string aPath, std::vector<double>& aTimes, double aSum)
{
  std::ranges::sort(aTimes);
  const auto at = [&](double aShare) {
    return aTimes[static_cast<std::size_t>(aShare * static_cast<double>(aTimes.size() - 1))];
  };
  return { aWorkers,
           std::move(aPath),
           static_cast<double>(aTimes.size()) / aSum,
           at(0.5) * 1e6,
           at(0.99) * 1e6 };
}

// The whole decision over the books of several owners in one process: what one process spends for
// one placement when it plays every part.
class Decider
{
public:
  Decider(std::size_t aWorkers, std::size_t aOwners)
    : mBooks(aOwners)
  {
    const PackingTrace trace = DrawTrace(aWorkers, 0.01, 7);
    for (std::size_t i = 0; i < aWorkers; ++i) {
      const WorkerSpec& spec = trace.mWorkers[i].mSpec;
      CapacityBook& book = mBooks[i % aOwners];
      book.PutWorker(spec, 1);
      book.ApplyInventory(spec.mName, MakeInventory(), mNow, mNow);
      mOwner[spec.mName] = i % aOwners;
      mMemory += spec.mCapacity.mMemoryMiB;
    }
  }

  bool Place(const TraceJob& aJob)
  {
    const JobSpec spec = MakeSpec(aJob);
    if (!mTable.Apply(JobSubmitted{ spec }, ++mAt, mNow))
      return false;
    PlanContext context;
    context.mNow = mNow;
    for (const PlannedGroup& group : mTable.PlanNext(context))
      if (!PlaceGroup(group))
        return false;
    return true;
  }

  void EndOldest()
  {
    const Placed placed = mPlaced.front();
    mPlaced.pop_front();
    mBooks[mOwner[placed.mWorker]].EndTask(placed.mWorker, placed.mTask, 1);
    mUsed -= placed.mNeed.mMemoryMiB;
    if (const auto ended = mTable.DecideEnd(
          { placed.mTask, 1, placed.mWorker, TaskEnd::Succeeded })) [[maybe_unused]]
      const auto effect = mTable.Apply(*ended, ++mAt, mNow);
  }

  [[nodiscard]] bool IsFull() const
  {
    return static_cast<double>(mUsed) > kFill * static_cast<double>(mMemory);
  }

private:
  static JobSpec MakeSpec(const TraceJob& aJob)
  {
    JobSpec spec;
    spec.mId = aJob.mShape.mJob;
    spec.mShape = aJob.mShape.mNeed;
    return spec;
  }

  bool PlaceGroup(const PlannedGroup& aGroup)
  {
    std::vector<Offer> offers;
    for (const CapacityBook& book : mBooks) {
      const FitReply reply = RankWorkers(book.ListViews(aGroup.mShape.mJob), aGroup.mShape, 1);
      offers.insert(offers.end(), reply.mOffers.begin(), reply.mOffers.end());
    }
    const auto chosen = ChooseOffers(offers, aGroup.mShape, 1);
    const bool found = !chosen.empty() && Start(aGroup, chosen.front().mWorker);
    mTable.EndPlacing(aGroup, found, mNow);
    return found;
  }

  bool Start(const PlannedGroup& aGroup, const WorkerName& aWorker)
  {
    CapacityBook& book = mBooks[mOwner[aWorker]];
    HoldRequest request;
    request.mShape = aGroup.mShape;
    request.mWorker = aWorker;
    request.mTasks = { { aGroup.mShape.mJob, 0 } };
    request.mExpiry = seconds(3);
    const auto hold = book.Hold(request, mNow);
    if (!hold || hold->mTasks.empty())
      return false;
    const TaskAssigned assigned{ request.mTasks[0], 1, aWorker, 1, aGroup.mShape.mNeed };
    const std::vector<JobEntry> entries{ assigned };
    mBytes += EncodeEntries(entries).size();
    if (!mTable.Apply(assigned, ++mAt, mNow))
      return false;
    TaskStart start;
    start.mHold = hold->mId;
    start.mEpoch = 1;
    start.mWorker = aWorker;
    start.mTask = request.mTasks[0];
    start.mAttempt = 1;
    start.mNeed = aGroup.mShape.mNeed;
    if (!book.BeginStart(start, mNow))
      return false;
    mUsed += start.mNeed.mMemoryMiB;
    mPlaced.push_back({ start.mTask, aWorker, start.mNeed });
    return true;
  }

  std::vector<CapacityBook> mBooks;
  std::map<WorkerName, std::size_t> mOwner{};
  JobTable mTable{};
  std::deque<Placed> mPlaced{};
  TimePoint mNow = TimePoint{} + seconds(1000);
  Sequence mAt = 0;
  std::int64_t mMemory = 0;
  std::int64_t mUsed = 0;
  std::size_t mBytes = 0;
};

Figures MeasureWhole(std::size_t aWorkers, Duration aFor)
{
  Decider decider(aWorkers, kOwnedBy);
  std::minstd_rand random(11);
  std::vector<double> times;
  double sum = 0;
  std::size_t refused = 0;
  for (std::size_t i = 0; sum < std::chrono::duration<double>(aFor).count(); ++i) {
    TraceJob job = DrawJob(i, random);
    job.mShape.mNeed.mAccelerators = 0;
    const TimePoint before = BootClock::now();
    const bool placed = decider.Place(job);
    const double took = std::chrono::duration<double>(BootClock::now() - before).count();
    sum += took;
    times.push_back(took);
    refused += placed ? 0 : 1;
    while (decider.IsFull())
      decider.EndOldest();
  }
  if (refused > 0)
    std::cerr << aWorkers << " workers: " << refused << " found no room\n";
  return Summarise(aWorkers, "whole", times, sum);
}

// Ranking alone, over plain views: the slope with the number of workers.
Figures MeasureRank(std::size_t aWorkers, Duration aFor)
{
  const PackingTrace trace = DrawTrace(aWorkers, 0.01, 7);
  std::minstd_rand random(11);
  std::vector<double> times;
  double sum = 0;
  std::size_t n = 0;
  for (std::size_t i = 0; sum < std::chrono::duration<double>(aFor).count(); ++i) {
    const TraceJob job = DrawJob(i, random);
    const TimePoint before = BootClock::now();
    const FitReply reply = RankWorkers(trace.mWorkers, job.mShape, 1);
    n += ChooseOffers(reply.mOffers, job.mShape, 1).size();
    const double took = std::chrono::duration<double>(BootClock::now() - before).count();
    sum += took;
    times.push_back(took);
  }
  if (n == 0)
    std::cerr << "nothing was chosen\n";
  return Summarise(aWorkers, "rank", times, sum);
}

void Print(const std::vector<Figures>& aFigures, bool aJson)
{
  std::printf(aJson ? "[" : "path   workers  placements/s   p50_us   p99_us\n");
  for (std::size_t i = 0; i < aFigures.size(); ++i) {
    const Figures& it = aFigures[i];
    const char* format = aJson ? "%s{\"path\":\"%s\",\"workers\":%zu,\"per_second\":%.0f,"
                                 "\"p50_us\":%.1f,\"p99_us\":%.1f}"
                               : "%s%-6s %7zu  %12.0f  %7.1f  %7.1f\n";
    std::printf(format,
                aJson && i > 0 ? "," : "",
                it.mPath.c_str(),
                it.mWorkers,
                it.mPerSecond,
                it.mP50Us,
                it.mP99Us);
  }
  if (aJson)
    std::printf("]\n");
}

}  // namespace

int main(int aCount, char** aValues)
{
  const std::vector<std::string> arguments(aValues + 1, aValues + aCount);
  const auto it = std::ranges::find(arguments, "--seconds");
  const bool given = it != arguments.end() && it + 1 != arguments.end();
  const Duration each = seconds(given ? std::stoi(*(it + 1)) : 2);
  std::vector<Figures> figures;
  for (const std::size_t n : kSizes)
    figures.push_back(MeasureWhole(n, each));
  for (const std::size_t n : kSizes)
    figures.push_back(MeasureRank(n, each));
  Print(figures, std::ranges::find(arguments, "--json") != arguments.end());
  return 0;
}
