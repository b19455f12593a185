#include "app/work_plane.h"

#include "app/key_shards.h"
#include "controllers/grants.h"
#include "controllers/jobs.h"
#include "controllers/supervision.h"
#include "journal/journal.h"

namespace monsoon {

namespace {

using CellJournal = Journal<CellStore>;
using CellGrants = GrantService<ControlPlane>;
using CellJobs = JobsController<CellJournal, PeerLink, ControlPlane, ControlPlane>;
using CellSupervision = Supervision<HttpWorker, PeerLink, ControlPlane, CapacityShards>;

constexpr Duration kExpireInterval = milliseconds(500);

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
    , mGrants(std::make_shared<CellGrants>(aContext.get_executor(),
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
    mCapacity.SetSlotsHandler([weak = std::weak_ptr(mGrants)] {
      if (auto grantService = weak.lock())
        grantService->OnSlotsChanged();
    });
  }

  asio::io_context& mContext;
  CapacityShards mCapacity{};
  KeyShards mKeys;
  std::shared_ptr<CellGrants> mGrants;
  CellSupervision mSupervision;
  CellJobs mJobs;
  std::atomic<bool> mStopped = false;
  std::set<WorkerName> mExcluded{};
  std::map<WorkerName, std::uint16_t> mKnownPorts{};  // port of each worker in the last VM list

  Async<void> ExpireGrants();
};

Async<void> WorkPlane::State::ExpireGrants()
{
  while (!mStopped) {
    mCapacity.Expire(BootClock::now());
    mGrants->OnSlotsChanged();  // a half-open probe of an ejected worker is due by time alone
    co_await Sleep(kExpireInterval);
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
  mState->mGrants->Drain();
}

void WorkPlane::OnOwnershipChanged()
{
  mState->mJobs.Wake();
  for (const auto& [name, port] : mState->mKnownPorts)
    mState->mSupervision.RefreshInventory(name);
  mState->mGrants->OnSlotsChanged();
}

// Notifies supervision and jobs only of changes, so that reading an unchanged VM list costs
// nothing.
void WorkPlane::OnFleetUpdate(const std::vector<WorkerSpec>& aWorkers,
                              const std::set<WorkerName>& aExcluded)
{
  State& state = *mState;
  std::map<WorkerName, std::uint16_t> ports;
  for (const WorkerSpec& it : aWorkers) {
    ports[it.mName] = it.mPort;
    const auto known = state.mKnownPorts.find(it.mName);
    if (known == state.mKnownPorts.end() || known->second != it.mPort)
      state.mSupervision.PutWorker(it);
  }
  const bool changed = ports != state.mKnownPorts || aExcluded != state.mExcluded;
  state.mKnownPorts = std::move(ports);
  state.mExcluded = aExcluded;
  if (!changed)
    return;
  state.mSupervision.SetDrained(aExcluded);
  state.mJobs.OnFleetChanged(aExcluded);
}

namespace {

// Routes each type of request to the part of the work plane that handles it.
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
    return mState.mGrants->Request(std::move(aIt));
  }
  Async<Result<PeerReply>> operator()(GrantReturn& aIt)
  {
    return Answer(mState.mGrants->Return(aIt));
  }
  Async<Result<PeerReply>> operator()(GrantCancel& aIt)
  {
    return Answer(mState.mGrants->Cancel(aIt));
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
    return Answer(MakeFailure(FailureKind::BadInput, "owners don't handle this type of request"));
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
