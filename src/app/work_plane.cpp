#include "app/work_plane.h"

#include "app/key_shards.h"
#include "controllers/grants.h"
#include "controllers/jobs.h"
#include "controllers/supervision.h"
#include "journal/journal.h"

namespace monsoon {

namespace {

using CellJournal = Journal<CellStore>;
using CellDesk = GrantService<ControlPlane>;
using CellJobs = JobsController<CellJournal, PeerLink, ControlPlane, ControlPlane>;
using CellSupervision = Supervision<HttpWorker, PeerLink, ControlPlane, CapacityShards>;

constexpr Duration kExpireEvery = milliseconds(500);

JobsSettings MakeJobsSettings(const Settings& aSettings)
{
  JobsSettings jobs;
  jobs.mSelf = aSettings.mProcess.mName;
  jobs.mZone = aSettings.mProcess.mZone;
  jobs.mZones[jobs.mSelf] = jobs.mZone;
  for (const PeerSettings& it : aSettings.mPeers)
    jobs.mZones[it.mName] = it.mZone;
  jobs.mShards = aSettings.mJobs.mShards;
  jobs.mHoldExpiry = aSettings.mJobs.mHold;
  jobs.mStartWithin = aSettings.mJobs.mStartWithin;
  return jobs;
}

GrantSettings MakeGrantSettings(const Settings& aSettings)
{
  GrantSettings grants;
  grants.mMaxWaiting = aSettings.mRequests.mQueue;
  return grants;
}

SupervisionSettings MakeSupervisionSettings(const Settings& aSettings)
{
  SupervisionSettings supervision;
  supervision.mSelf = aSettings.mProcess.mName;
  supervision.mShards = aSettings.mJobs.mShards;
  supervision.mLease = aSettings.mJobs.mTaskLease;
  supervision.mInterval = aSettings.mJobs.mReportInterval;
  return supervision;
}

}  // namespace

struct WorkPlane::State
{
  State(asio::io_context& aContext,
        const Settings& aSettings,
        CellStore& aStore,
        PeerLink& aLink,
        HttpWorker& aWorkers,
        ControlPlane& aControl)
    : mContext(aContext)
    , mKeys(aStore, aControl, aSettings.mProcess.mName, aSettings.mJobs.mShards)
    , mDesk(std::make_shared<CellDesk>(aContext.get_executor(),
                                       aSettings.mProcess.mName,
                                       mCapacity,
                                       aControl,
                                       MakeGrantSettings(aSettings)))
    , mSupervision(aContext.get_executor(),
                   aWorkers,
                   aLink,
                   aControl,
                   mCapacity,
                   MakeSupervisionSettings(aSettings))
    , mJobs(
        aContext.get_executor(),
        [&aStore](ShardIndex aShard) {
          return std::make_shared<CellJournal>(aStore, "jobs-" + std::to_string(aShard));
        },
        aLink,
        aControl,
        aControl,
        MakeJobsSettings(aSettings))
  {
    mCapacity.SetSlotsHandler([weak = std::weak_ptr(mDesk)] {
      if (auto desk = weak.lock())
        desk->OnSlotsChanged();
    });
  }

  asio::io_context& mContext;
  CapacityShards mCapacity{};
  KeyShards mKeys;
  std::shared_ptr<CellDesk> mDesk;
  CellSupervision mSupervision;
  CellJobs mJobs;
  std::atomic<bool> mStopped = false;
  std::set<WorkerName> mExcluded{};
  std::map<WorkerName, std::uint16_t> mSeen{};  // workers of the last VM list, by port

  Async<void> ExpireGrants();
};

Async<void> WorkPlane::State::ExpireGrants()
{
  while (!mStopped) {
    mCapacity.Expire(BootClock::now());
    mDesk->OnSlotsChanged();  // half-open probes of ejected workers come due with time alone
    co_await Sleep(kExpireEvery);
  }
}

WorkPlane::WorkPlane(asio::io_context& aContext,
                     const Settings& aSettings,
                     CellStore& aStore,
                     PeerLink& aLink,
                     HttpWorker& aWorkers,
                     ControlPlane& aControl)
  : mState(std::make_shared<State>(aContext, aSettings, aStore, aLink, aWorkers, aControl))
{
}

WorkPlane::~WorkPlane() = default;

void WorkPlane::Start(PlacedHandler aOnPlaced)
{
  mState->mJobs.SetPlacedHandler(std::move(aOnPlaced));
  mState->mJobs.Start();
  asio::co_spawn(mState->mContext, mState->ExpireGrants(), asio::detached);
}

void WorkPlane::Stop()
{
  mState->mStopped = true;
  mState->mSupervision.Stop();
  mState->mJobs.Stop();
}

void WorkPlane::Drain()
{
  mState->mDesk->Drain();
}

void WorkPlane::OnOwnership()
{
  mState->mJobs.Wake();
  for (const auto& [name, port] : mState->mSeen)
    mState->mSupervision.RefreshInventory(name);
  mState->mDesk->OnSlotsChanged();
}

// Jobs look again only when something changed: an unchanged reading of the list must cost nothing.
void WorkPlane::OnFleet(const std::vector<WorkerSpec>& aWorkers,
                        const std::set<WorkerName>& aExcluded)
{
  State& state = *mState;
  std::map<WorkerName, std::uint16_t> seen;
  for (const WorkerSpec& it : aWorkers) {
    seen[it.mName] = it.mPort;
    const auto before = state.mSeen.find(it.mName);
    if (before == state.mSeen.end() || before->second != it.mPort)
      state.mSupervision.PutWorker(it);
  }
  const bool changed = seen != state.mSeen || aExcluded != state.mExcluded;
  state.mSeen = std::move(seen);
  state.mExcluded = aExcluded;
  if (!changed)
    return;
  state.mSupervision.SetDrained(aExcluded);
  state.mJobs.NoteFleetChanged(aExcluded);
}

namespace {

// The part of the work plane that answers each request.
template<class State>
struct Dispatcher
{
  State& mState;

  template<class Request>
  Async<Result<PeerReply>> ToSupervision(Request aRequest)
  {
    return mState.mSupervision.Handle(std::move(aRequest));
  }
  template<class Request>
  Async<Result<PeerReply>> ToJobs(Request aRequest)
  {
    return mState.mJobs.Handle(std::move(aRequest));
  }
  template<class Request>
  Async<Result<PeerReply>> ToKeys(Request aRequest)
  {
    return mState.mKeys.Handle(std::move(aRequest));
  }
  Async<Result<PeerReply>> Answer(Result<PeerReply> aReply) { co_return aReply; }

  Async<Result<PeerReply>> operator()(GrantRequest& aIt)
  {
    return mState.mDesk->Request(std::move(aIt));
  }
  Async<Result<PeerReply>> operator()(GrantReturn& aIt)
  {
    return Answer(mState.mDesk->Return(aIt));
  }
  Async<Result<PeerReply>> operator()(GrantCancel& aIt)
  {
    return Answer(mState.mDesk->Cancel(aIt));
  }
  Async<Result<PeerReply>> operator()(FitQuery& aIt) { return ToSupervision(std::move(aIt)); }
  Async<Result<PeerReply>> operator()(HoldRequest& aIt) { return ToSupervision(std::move(aIt)); }
  Async<Result<PeerReply>> operator()(HoldRelease& aIt) { return ToSupervision(std::move(aIt)); }
  Async<Result<PeerReply>> operator()(TaskStart& aIt) { return ToSupervision(std::move(aIt)); }
  Async<Result<PeerReply>> operator()(TaskStop& aIt) { return ToSupervision(std::move(aIt)); }
  Async<Result<PeerReply>> operator()(TaskQuery& aIt) { return ToSupervision(std::move(aIt)); }
  Async<Result<PeerReply>> operator()(TaskReports& aIt) { return ToJobs(std::move(aIt)); }
  Async<Result<PeerReply>> operator()(JobSubmit& aIt) { return ToJobs(std::move(aIt)); }
  Async<Result<PeerReply>> operator()(JobCancel& aIt) { return ToJobs(std::move(aIt)); }
  Async<Result<PeerReply>> operator()(JobQuery& aIt) { return ToJobs(std::move(aIt)); }
  Async<Result<PeerReply>> operator()(JobList& aIt) { return ToJobs(aIt); }
  Async<Result<PeerReply>> operator()(KeyRecord& aIt) { return ToKeys(std::move(aIt)); }
  Async<Result<PeerReply>> operator()(KeyOutcome& aIt) { return ToKeys(std::move(aIt)); }

  Async<Result<PeerReply>> operator()(WorkerList&)
  {
    return Answer(PeerReply(WorkerViews{ mState.mCapacity.ListViews() }));
  }

  template<class Other>
  Async<Result<PeerReply>> operator()(Other&)
  {
    return Answer(MakeFailure(FailureKind::BadInput, "not a request for an owner"));
  }
};

}  // namespace

Async<Result<PeerReply>> WorkPlane::Handle(PeerRequest aRequest)
{
  Dispatcher<State> dispatcher{ *mState };
  co_return co_await std::visit(dispatcher, aRequest);
}

std::uint32_t WorkPlane::CountFreeSlots() const
{
  return mState->mCapacity.CountFreeSlots();
}
std::vector<WorkerView> WorkPlane::ListViews() const
{
  return mState->mCapacity.ListViews();
}

}  // namespace monsoon
