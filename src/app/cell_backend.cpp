#include "app/cell_backend.h"

#include "controllers/job_entries.h"

namespace monsoon {

namespace {

constexpr Duration kJobCallTimeout = seconds(15);
constexpr Duration kPeerCallTimeout = seconds(2);

ConfigurationEntry MakeEntry(const DeclarationChange& aChange)
{
  if (const auto* it = std::get_if<PutTeam>(&aChange))
    return TeamSet{ it->mQuota };
  if (const auto* it = std::get_if<PutDrained>(&aChange)) {
    if (it->mDrained)
      return WorkerDrained{ it->mWorker };
    return WorkerUndrained{ it->mWorker };
  }
  if (const auto* it = std::get_if<PutSetting>(&aChange))
    return CellSettingSet{ it->mName, it->mValue };
  if (const auto* it = std::get_if<PutDeclaredJob>(&aChange))
    return JobDeclared{ it->mSpec };
  return JobWithdrawn{ std::get<DropDeclaredJob>(aChange).mId };
}

void AddFitReply(FitReply& aSum, const FitReply& aReply)
{
  aSum.mOffers.insert(aSum.mOffers.end(), aReply.mOffers.begin(), aReply.mOffers.end());
  aSum.mNeverFits += aReply.mNeverFits;
  aSum.mFullNow += aReply.mFullNow;
  aSum.mExcluded += aReply.mExcluded;
}

FitQuery MakeQuery(const JobSpec& aSpec)
{
  FitQuery query;
  query.mShape.mJob = aSpec.mId;
  query.mShape.mKind = aSpec.mKind;
  query.mShape.mTeam = aSpec.mTeam;
  query.mShape.mPriority = aSpec.mPriority;
  query.mShape.mNeed = aSpec.mShape;
  query.mShape.mAcceleratorType = aSpec.mAcceleratorType;
  query.mShape.mSpreadZones = aSpec.mSpreadZones;
  query.mShape.mSpreadRacks = aSpec.mSpreadRacks;
  query.mCount = aSpec.mTasks;
  return query;
}

}  // namespace

CellBackend::CellBackend(PeerLink& aLink, ControlPlane& aControl, const Settings& aSettings)
  : mLink(aLink)
  , mControl(aControl)
  , mSettings(aSettings)
{
}

// Jobs

Async<Result<JobStatus>> CellBackend::CallForJob(JobId aId, PeerRequest aRequest)
{
  const ShardIndex shard = ComputeShard(aId, mSettings.mJobs.mShards);
  auto reply =
    co_await CallShardOwner(mLink, mControl, shard, std::move(aRequest), kJobCallTimeout);
  if (!reply)
    co_return reply.error();
  auto* status = std::get_if<JobStatus>(&*reply);
  if (status == nullptr)
    co_return MakeFailure(FailureKind::Internal,
                          "unexpected reply type from the job shard's owner");
  co_return std::move(*status);
}

Async<Result<JobStatus>> CellBackend::FindJob(JobId aId)
{
  const JobQuery query{ aId };
  const PeerRequest request(query);
  co_return co_await CallForJob(std::move(aId), request);
}

Async<Result<JobStatus>> CellBackend::CheckRevision(JobId aId, std::optional<Revision> aExpected)
{
  auto status = co_await FindJob(std::move(aId));
  if (status && aExpected && status->mAt != *aExpected)
    co_return MakeFailure(FailureKind::Conflict, "present revision " + std::to_string(status->mAt));
  co_return status;
}

Async<Result<JobStatus>> CellBackend::SubmitJob(JobSpec aSpec, std::optional<Revision> aExpected)
{
  const JobId id = aSpec.mId;
  if (id.empty())
    co_return MakeFailure(FailureKind::BadInput, "a job needs a name");
  // Revision 0 means that the job must not exist yet. That needs no check here: the shard refuses
  // another job with the same id.
  if (aExpected && *aExpected != 0) {
    auto checked = co_await CheckRevision(id, aExpected);
    if (!checked)
      co_return checked.error();
  }
  const JobSubmit submit{ std::move(aSpec) };
  const PeerRequest request(submit);
  co_return co_await CallForJob(id, request);
}

Async<Result<JobStatus>> CellBackend::ChangeJob(JobId aId,
                                                JobChange,
                                                std::optional<Revision> aExpected)
{
  auto checked = co_await CheckRevision(std::move(aId), aExpected);
  if (!checked)
    co_return checked.error();
  co_return MakeFailure(FailureKind::BadInput,
                        "a job can't be changed; cancel it and create another");
}

Async<Result<JobStatus>> CellBackend::CancelJob(JobId aId, std::optional<Revision> aExpected)
{
  if (aExpected) {
    auto checked = co_await CheckRevision(aId, aExpected);
    if (!checked)
      co_return checked.error();
  }
  const JobCancel cancel{ aId };
  const PeerRequest request(cancel);
  co_return co_await CallForJob(std::move(aId), request);
}

Async<Result<std::vector<JobStatus>>> CellBackend::ListJobs(std::uint32_t aLimit)
{
  std::vector<JobStatus> jobs;
  for (ShardIndex i = 0; i < mSettings.mJobs.mShards; ++i) {
    const JobList list{ i, aLimit };
    const PeerRequest request(list);
    auto reply = co_await CallShardOwner(mLink, mControl, i, request, kJobCallTimeout);
    if (!reply)
      co_return reply.error();
    auto* statuses = std::get_if<JobStatuses>(&*reply);
    if (statuses == nullptr)
      co_return MakeFailure(FailureKind::Internal,
                            "unexpected reply type from the job shard's owner");
    for (JobStatus& it : statuses->mJobs)
      jobs.push_back(std::move(it));
  }
  if (jobs.size() > aLimit)
    jobs.resize(aLimit);
  co_return jobs;
}

Async<Result<JobExplanation>> CellBackend::ExplainJob(JobId aId)
{
  auto status = co_await FindJob(std::move(aId));
  if (!status)
    co_return status.error();
  JobExplanation explanation;
  explanation.mStatus = std::move(*status);
  const JobSpec& spec = explanation.mStatus.mSpec;
  const FitQuery query = MakeQuery(spec);
  for (const ProcessName& owner : mControl.ListOwners()) {
    const PeerRequest request(query);
    auto reply = co_await mLink.Call(owner, request, kPeerCallTimeout);
    if (auto* fit = reply ? std::get_if<FitReply>(&*reply) : nullptr)
      AddFitReply(explanation.mFit, *fit);
    else
      explanation.mHints.push_back("no answer from the owner " + owner);
  }
  for (const WorkerSpec& it : mControl.ListWorkers()) {
    const bool type = spec.mAcceleratorType.empty() || it.mAcceleratorType == spec.mAcceleratorType;
    if (type && it.mCapacity.mMilliCores > explanation.mLargest.mMilliCores)
      explanation.mLargest = it.mCapacity;
  }
  co_return explanation;
}

// Cell

Async<std::map<WorkerName, WorkerView>> CellBackend::CollectViews()
{
  std::map<WorkerName, WorkerView> views;
  for (const ProcessName& owner : mControl.ListOwners()) {
    const WorkerList list;
    const PeerRequest request(list);
    auto reply = co_await mLink.Call(owner, request, kPeerCallTimeout);
    auto* found = reply ? std::get_if<WorkerViews>(&*reply) : nullptr;
    if (found == nullptr)
      continue;
    for (WorkerView& it : found->mWorkers)
      views[it.mSpec.mName] = std::move(it);
  }
  co_return views;
}

Async<Result<std::vector<WorkerRow>>> CellBackend::ListWorkers()
{
  const std::map<WorkerName, WorkerView> views = co_await CollectViews();
  const auto configuration = mControl.GetConfiguration();
  std::vector<WorkerRow> rows;
  for (const WorkerSpec& it : mControl.ListWorkers()) {
    WorkerRow row;
    row.mSpec = it;
    if (const auto owner = mControl.FindWorkerOwner(it.mName))
      row.mOwner = owner->mProcess;
    const auto drained = configuration->mDrained.find(it.mName);
    row.mDrained = drained != configuration->mDrained.end() && drained->second;
    if (const auto view = views.find(it.mName); view != views.end()) {
      row.mFree = view->second.mFree;
      row.mKnown = view->second.mKnown;
      row.mQuarantined = view->second.mExcluded && !row.mDrained && !it.mLeaving;
    }
    rows.push_back(std::move(row));
  }
  co_return rows;
}

Async<Result<std::vector<ProcessRow>>> CellBackend::ListProcesses()
{
  std::map<ProcessName, std::uint32_t> owned;
  for (const WorkerSpec& it : mControl.ListWorkers())
    if (const auto owner = mControl.FindWorkerOwner(it.mName))
      ++owned[owner->mProcess];
  std::vector<ProcessRow> rows;
  const ProcessName& self = mSettings.mProcess.mName;
  rows.push_back({ self,
                   mSettings.mProcess.mZone,
                   true,
                   mControl.GetStopState() != StopState::Ready,
                   owned[self],
                   mControl.CountFreeSlots() });
  for (const MemberView& it : mControl.ListMembers())
    if (it.mName != self)
      rows.push_back(
        { it.mName, it.mZone, it.mAlive, it.mLeaving, owned[it.mName], it.mFreeSlots });
  co_return rows;
}

std::shared_ptr<const Configuration> CellBackend::GetConfiguration()
{
  return mControl.GetConfiguration();
}

Async<Result<Revision>> CellBackend::ChangeConfiguration(DeclarationChange aChange,
                                                         std::optional<Revision> aExpected)
{
  std::vector<ConfigurationEntry> entries;
  entries.push_back(MakeEntry(aChange));
  auto revision = co_await mControl.Change(aExpected, std::move(entries));
  if (!revision)
    co_return revision.error();
  if (const auto* it = std::get_if<DropDeclaredJob>(&aChange)) {
    auto cancelled = co_await CancelJob(it->mId, std::nullopt);
    if (!cancelled && cancelled.error().mKind != FailureKind::NotFound)
      co_return MakeFailure(cancelled.error().mKind,
                            "withdrawn at revision " + std::to_string(*revision) +
                              ", but not cancelled: " + cancelled.error().mDetail);
  }
  co_return revision;
}

}  // namespace monsoon
