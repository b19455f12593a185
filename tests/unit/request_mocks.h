// Mocks of the interfaces that the request path calls. For one thread; replies follow fixed
// scripts.
#pragma once

#include <deque>
#include <functional>
#include <map>

#include "controllers/views.h"
#include "core/async.h"
#include "core/concepts.h"
#include "journal/journal_types.h"

namespace monsoon::testing {

// Runs aContext until aWork has ended and returns its result.
template<class T>
T RunUntilDone(asio::io_context& aContext, Async<T> aWork)
{
  std::optional<T> result;
  asio::co_spawn(
    aContext,
    [](Async<T> aInner, std::optional<T>& aOut) -> Async<void> {
      aOut.emplace(co_await std::move(aInner));
    }(std::move(aWork), result),
    asio::detached);
  aContext.restart();
  while (!result && aContext.run_one() > 0) {
  }
  aContext.poll();
  return std::move(*result);
}

struct MockOwnership
{
  std::map<WorkerName, OwnerOf> mWorkers{};
  std::map<ShardIndex, OwnerOf> mShards{};
  std::vector<ProcessName> mOwners{};
  ProcessName mSelf = "p1";
  bool mLease = true;                             // mSelf has a valid lease
  mutable std::function<void()> mOnLeaseCheck{};  // called first by MayActOnWorker

  std::optional<OwnerOf> FindWorkerOwner(std::string_view aWorker) const
  {
    const auto it = mWorkers.find(std::string(aWorker));
    return it == mWorkers.end() ? std::nullopt : std::optional(it->second);
  }
  std::optional<OwnerOf> FindShardOwner(ShardIndex aShard) const
  {
    const auto it = mShards.find(aShard);
    return it == mShards.end() ? std::nullopt : std::optional(it->second);
  }
  std::optional<Epoch> MayActOnWorker(std::string_view aWorker, TimePoint) const
  {
    if (mOnLeaseCheck)
      mOnLeaseCheck();
    const auto owner = FindWorkerOwner(aWorker);
    return mLease && owner && owner->mProcess == mSelf ? std::optional(owner->mEpoch)
                                                       : std::nullopt;
  }
  std::optional<Epoch> MayActOnShard(ShardIndex aShard, TimePoint) const
  {
    const auto owner = FindShardOwner(aShard);
    return mLease && owner && owner->mProcess == mSelf ? std::optional(owner->mEpoch)
                                                       : std::nullopt;
  }
  std::vector<WorkerName> ListOwnedWorkers() const
  {
    std::vector<WorkerName> names;
    for (const auto& [name, owner] : mWorkers)
      if (owner.mProcess == mSelf)
        names.push_back(name);
    return names;
  }
  std::vector<ProcessName> ListOwners() const { return mOwners; }
};

struct MockMembership
{
  std::vector<MemberView> mMembers{};
  std::vector<MemberView> ListMembers() const { return mMembers; }
};

struct MockConfiguration
{
  std::shared_ptr<Configuration> mConfiguration = std::make_shared<Configuration>();
  bool mConfirmed = true;
  std::shared_ptr<const Configuration> GetConfiguration() const { return mConfiguration; }
  bool IsConfirmed() const { return mConfirmed; }
};

using PeerScript = std::function<Async<Result<PeerReply>>(PeerRequest aRequest)>;

// Records each call and passes it to the script of the called process. A process without a script
// is unreachable.
struct MockPeers
{
  std::map<ProcessName, PeerScript> mScripts{};
  std::vector<std::pair<ProcessName, PeerRequest>> mCalls{};

  Async<Result<PeerReply>> Call(ProcessName aTo, PeerRequest aRequest, Duration)
  {
    mCalls.emplace_back(aTo, aRequest);
    const auto it = mScripts.find(aTo);
    if (it == mScripts.end())
      co_return MakeFailure(FailureKind::PeerUnreachable, aTo);
    co_return co_await it->second(std::move(aRequest));
  }

  // Returns the calls with this type of message, in order.
  template<class Message>
  std::vector<Message> List() const
  {
    std::vector<Message> found;
    for (const auto& [to, request] : mCalls)
      if (const Message* message = std::get_if<Message>(&request))
        found.push_back(*message);
    return found;
  }
};

// Answers each Run with the next result of mScript; once the script is empty, echoes the body.
struct MockWorkers
{
  std::deque<Result<RunAnswer>> mScript{};
  std::vector<std::pair<WorkerName, RequestId>> mRuns{};

  Async<Result<RunAnswer>> Run(const WorkerSpec& aWorker,
                               const RequestSpec& aRequest,
                               const Grant&,
                               Duration)
  {
    mRuns.emplace_back(aWorker.mName, aRequest.mId);
    if (mScript.empty())
      co_return RunAnswer{ 200, aRequest.mBody };
    Result<RunAnswer> answer = std::move(mScript.front());
    mScript.pop_front();
    co_return answer;
  }
  Async<Result<void>> Start(const WorkerSpec&, const TaskStart&, std::int64_t, Duration, Duration)
  {
    co_return Result<void>();
  }
  Async<Result<void>> Stop(const WorkerSpec&, const TaskStop&, Duration)
  {
    co_return Result<void>();
  }
  Async<Result<Inventory>> Renew(const WorkerSpec&, const LeaseRenewal&, Duration)
  {
    co_return Inventory{};
  }
};

// Journal in memory. The next appends fail with the kinds in mFail; if mCommitsAnyway, their
// entries are written all the same, as when the reply of a committed write is lost.
struct MockJournal
{
  std::vector<std::string> mEntries{};
  std::deque<FailureKind> mFail{};
  bool mCommitsAnyway = false;
  bool mFenced = false;  // another writer has appended: every append fails
  Duration mDelay{};
  std::uint64_t mAppends = 0;

  Async<Result<JournalState>> Replay() { co_return JournalState{}; }
  Async<Result<std::vector<JournalEntry>>> ReadNew() { co_return std::vector<JournalEntry>{}; }
  Async<Result<Sequence>> Append(std::string aBytes)
  {
    ++mAppends;
    if (mDelay > Duration::zero())
      co_await Sleep(mDelay);
    if (mFenced)
      co_return MakeFailure(FailureKind::Fenced, "another writer has appended");
    if (!mFail.empty()) {
      const FailureKind kind = mFail.front();
      mFail.pop_front();
      if (mCommitsAnyway)
        mEntries.push_back(aBytes);
      co_return MakeFailure(kind, "scripted failure");
    }
    mEntries.push_back(std::move(aBytes));
    co_return static_cast<Sequence>(mEntries.size());
  }
  Async<Result<Sequence>> AppendAt(Sequence, std::string aBytes) { return Append(aBytes); }
  Async<Result<void>> WriteSnapshot(Sequence, std::string) { co_return Result<void>(); }
  Sequence GetHead() { return mEntries.size(); }
};

}  // namespace monsoon::testing
