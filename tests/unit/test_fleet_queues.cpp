// Jobs go on with what was configured when they were accepted, whoever schedules.
#include <catch2/catch.hpp>

#include "fleet/peer_messages.h"
#include "fleet/scheduler.h"

using namespace monsoon;
using namespace monsoon::fleet;

namespace {

constexpr TimePoint kStart{ seconds(2000) };

QueueConfig MakeQueue(std::string aName, std::string aService = "pool")
{
  QueueConfig queue;
  queue.mName = std::move(aName);
  queue.mService = std::move(aService);
  queue.mMaxAttempts = 2;
  queue.mPriority = 3;
  queue.mSlack = milliseconds(700);
  return queue;
}

FleetConfig MakeConfig(std::vector<QueueConfig> aQueues)
{
  static std::uint64_t version = 0;
  FleetConfig config;
  config.mVersion = ++version;
  config.mQueues = std::move(aQueues);
  return config;
}

// Returns a job of two stages as a process accepts it, or one of an earlier build.
JobSpec MakeJob(const QueueConfig& aQueue, bool aHasTerms = true)
{
  JobSpec job;
  job.mId = "a";
  job.mQueue = aQueue.mName;
  job.mService = aQueue.mService;
  if (aHasTerms)
    job.mTerms = aQueue;
  StageSpec stage;
  stage.mCount = 1;
  stage.mMilliCores = 1000;
  stage.mEstimateMs = 1000;
  job.mStages = { stage, stage };
  job.mStages[1].mAfter = { 0 };
  return job;
}

void AddWorker(Scheduler& aScheduler, std::string aId, std::string aService = "pool")
{
  WorkerEntry entry;
  entry.mId = aId;
  entry.mAddress = aId + ":80";
  entry.mService = std::move(aService);
  entry.mMilliCores = 8000;
  entry.mMemoryMiB = 16'000;
  aScheduler.ListWorker(entry, true, kStart);
  aScheduler.OnReport(aId, {}, kStart, kStart);
}

// Returns a scheduler of the given epoch with a worker, that has read the configuration.
Scheduler MakeScheduler(std::uint64_t aEpoch, const FleetConfig& aConfig)
{
  Scheduler scheduler({ .mEpoch = aEpoch });
  scheduler.SetQueues(aConfig);
  AddWorker(scheduler, "w0");
  return scheduler;
}

Orders PlanAt(Scheduler& aScheduler, TimePoint aNow)
{
  return aScheduler.Plan(aNow, 0, true, 4);
}

void EndTask(Scheduler& aScheduler, const StartOrder& aOrder, EndKind aKind, TimePoint aNow)
{
  aScheduler.OnStart(aOrder, StartOutcome::Started, aNow);
  WorkerReport report;
  const std::uint64_t number = aScheduler.FindWorker(aOrder.mWorker)->mLastEnd + 1;
  report.mEnded.push_back({ number, aOrder.mTask, aOrder.mRun, aKind, "" });
  aScheduler.OnReport(aOrder.mWorker, report, aNow, aNow);
}

// As builds before mTerms stored it.
struct EarlierJobSpec
{
  JobSpec mSpec{};

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    mSpec.serialize(aArchive);
  }
};

}  // namespace

TEST_CASE("fleet: the jobs of a removed queue have nothing running once another process schedules")
{
  const QueueConfig old = MakeQueue("old");
  const FleetConfig later = MakeConfig({ MakeQueue("new", GENERATE("pool", "other")) });
  Scheduler first = MakeScheduler(1, MakeConfig({ old }));
  first.AddJob(MakeJob(old), {}, false, kStart);
  const Orders orders = PlanAt(first, kStart);
  REQUIRE(orders.mStarts.size() == 1);
  first.SetQueues(later);
  EndTask(first, orders.mStarts[0], EndKind::Done, kStart);
  const ProgressBatch batch = first.CollectProgress(10, kStart);
  REQUIRE(batch.mJobs.size() == 1);

  Scheduler second({ .mEpoch = 2 });
  const bool isConfigured = GENERATE(true, false);  // or no configuration can be read
  if (isConfigured)
    second.SetQueues(later);
  AddWorker(second, "w0");
  second.AddJob(MakeJob(old), batch.mJobs[0].mBytes, true, kStart);
  const Orders next = PlanAt(second, kStart);
  REQUIRE(next.mStarts.size() == 1);
  CHECK(next.mStarts[0].mTask == "a.0.1.0");
  CHECK(second.IsStartWanted(next.mStarts[0]));
  EndTask(second, next.mStarts[0], EndKind::Done, kStart);
  CHECK(second.FindJob("a")->mState == JobState::Completed);
}

TEST_CASE("fleet: a job accepted for a queue that the holder has never read does not start")
{
  Scheduler scheduler = MakeScheduler(1, MakeConfig({ MakeQueue("new") }));
  scheduler.AddJob(MakeJob(MakeQueue("old")), {}, false, kStart);
  CHECK(PlanAt(scheduler, kStart).mStarts.size() == 1);
}

TEST_CASE("fleet: the occurrences of a removed queue are not started when they are due")
{
  Scheduler scheduler = MakeScheduler(2, MakeConfig({ MakeQueue("new") }));
  JobSpec job = MakeJob(MakeQueue("old"));
  job.mOccurrences = 2;
  job.mFirstMs = 1000;
  job.mIntervalMs = 3'600'000;
  scheduler.AddJob(job, {}, true, kStart);
  CHECK(scheduler.Plan(kStart, 999, true, 4).mStarts.empty());
  CHECK(scheduler.Plan(kStart, 1000, true, 4).mStarts.size() == 1);
  CHECK(scheduler.FindJob("a")->mDueAt == kStart + milliseconds(2700));
  scheduler.SetQueues(MakeConfig({}));
  const Orders orders = scheduler.Plan(kStart + seconds(3600), 3'601'000, true, 4);
  REQUIRE(orders.mStarts.size() == 1);
  CHECK(orders.mStarts[0].mTask == "a.1.0.0");
}

TEST_CASE("fleet: tasks of a removed queue fail more often than it allowed")
{
  const QueueConfig old = MakeQueue("old");
  Scheduler scheduler = MakeScheduler(2, MakeConfig({ MakeQueue("new") }));
  AddWorker(scheduler, "w1");
  scheduler.AddJob(MakeJob(old), {}, true, kStart);
  for (std::uint32_t n = 1; n <= old.mMaxAttempts; ++n) {
    CHECK(scheduler.FindJob("a")->mState != JobState::Failed);
    const Orders orders = PlanAt(scheduler, kStart);
    REQUIRE(orders.mStarts.size() == 1);
    EndTask(scheduler, orders.mStarts[0], EndKind::Failed, kStart);
  }
  CHECK(scheduler.FindJob("a")->mState == JobState::Failed);
}

TEST_CASE("fleet: tasks of a removed queue start without the tickets that it needed")
{
  QueueConfig old = MakeQueue("old");
  old.mNeedsAdvice = true;
  old.mAdviceBase = milliseconds(20);
  old.mAdviceValid = seconds(2);
  Scheduler scheduler = MakeScheduler(2, MakeConfig({ MakeQueue("new") }));
  scheduler.AddJob(MakeJob(old), {}, true, kStart);
  const Orders orders = PlanAt(scheduler, kStart);
  CHECK(orders.mStarts.empty());
  REQUIRE(orders.mAdvice.size() == 1);
  const std::vector<AdmittedWorker> admitted{ { "w0", "ticket" } };
  scheduler.OnAdvice(orders.mAdvice[0], &admitted, Duration::zero(), kStart, kStart);
  const Orders starts = PlanAt(scheduler, kStart + milliseconds(1500));
  REQUIRE(starts.mStarts.size() == 1);
  CHECK(starts.mStarts[0].mTicket == "ticket");
}

TEST_CASE("fleet: a queue that gets another service takes its accepted jobs along")
{
  const QueueConfig accepted = MakeQueue("q");
  Scheduler scheduler = MakeScheduler(1, MakeConfig({ accepted }));
  AddWorker(scheduler, "w1", "other");
  scheduler.AddJob(MakeJob(accepted), {}, false, kStart);
  scheduler.SetQueues(MakeConfig({ MakeQueue("q", "other") }));
  SECTION("the service has workers")
  {
    const Orders orders = PlanAt(scheduler, kStart);
    REQUIRE(orders.mStarts.size() == 1);
    CHECK(orders.mStarts[0].mWorker == "w0");
    CHECK(scheduler.IsStartWanted(orders.mStarts[0]));
  }
  SECTION("the service has no workers any more")
  {
    scheduler.UnlistWorker("w0", kStart);
    const Orders orders = PlanAt(scheduler, kStart);
    REQUIRE(orders.mStarts.size() == 1);
    CHECK(orders.mStarts[0].mWorker == "w1");
    CHECK(scheduler.IsStartWanted(orders.mStarts[0]));
  }
}

TEST_CASE("fleet: a job that an earlier build stored is lost with its queue")
{
  const QueueConfig old = MakeQueue("old");
  SECTION("its queue is configured")
  {
    Scheduler scheduler = MakeScheduler(2, MakeConfig({ old }));
    scheduler.AddJob(MakeJob(old, false), {}, true, kStart);
    CHECK(scheduler.FindJob("a")->mDueAt == kStart + milliseconds(2700));
    scheduler.SetQueues(MakeConfig({ MakeQueue("new", "other") }));
    CHECK(scheduler.FindJob("a")->mSpec.mTerms->mPriority == old.mPriority);
    CHECK(PlanAt(scheduler, kStart).mStarts.size() == 1);
  }
  SECTION("its queue was replaced")
  {
    QueueConfig similar = MakeQueue("new");
    similar.mNeedsAdvice = true;
    Scheduler scheduler = MakeScheduler(2, MakeConfig({ MakeQueue("b", "other"), similar }));
    scheduler.AddJob(MakeJob(old, false), {}, true, kStart);
    CHECK(PlanAt(scheduler, kStart).mAdvice.size() == 1);
  }
  SECTION("no queue has its service: its workers tell whether it needs tickets")
  {
    Scheduler scheduler = MakeScheduler(2, MakeConfig({ MakeQueue("b", "other") }));
    scheduler.AddJob(MakeJob(old, false), {}, true, kStart);
    const Orders orders = PlanAt(scheduler, kStart);
    REQUIRE(orders.mStarts.size() == 1);
    scheduler.OnStart(orders.mStarts[0], StartOutcome::BadTicket, kStart);
    const Orders next = PlanAt(scheduler, kStart);
    CHECK(next.mStarts.empty());
    REQUIRE(next.mAdvice.size() == 1);
    const std::vector<AdmittedWorker> admitted{ { "w0", "ticket" } };
    scheduler.OnAdvice(next.mAdvice[0], &admitted, Duration::zero(), kStart, kStart);
    CHECK(PlanAt(scheduler, kStart + milliseconds(500)).mStarts.size() == 1);
  }
  SECTION("no configuration was read yet")
  {
    Scheduler scheduler({ .mEpoch = 2 });
    AddWorker(scheduler, "w0");
    scheduler.AddJob(MakeJob(old, false), {}, true, kStart);
    scheduler.SetQueues({});
    CHECK(PlanAt(scheduler, kStart).mStarts.empty());
    scheduler.SetQueues(MakeConfig({ old }));
    CHECK(PlanAt(scheduler, kStart).mStarts.size() == 1);
  }
}

TEST_CASE("fleet: a stored job can't be read by the build before or after")
{
  const JobSpec job = MakeJob(MakeQueue("q"));
  const auto now = DecodeMessage<JobSpec>(EncodeMessage(job));
  REQUIRE(now.has_value());
  REQUIRE(now->mTerms);
  CHECK(now->mTerms->mMaxAttempts == 2);
  CHECK(now->mTerms->mSlack == milliseconds(700));
  const auto before = DecodeMessage<EarlierJobSpec>(EncodeMessage(job));
  REQUIRE(before.has_value());
  CHECK(before->mSpec.mStages.size() == 2);
  const auto after = DecodeMessage<JobSpec>(EncodeMessage(EarlierJobSpec{ job }));
  REQUIRE(after.has_value());
  CHECK(after->mStages.size() == 2);
  CHECK_FALSE(after->mTerms);
}
