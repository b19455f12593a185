// Runs operators' commands that arrive over HTTP, and submits the jobs that the configuration
// declares.
#include "app/cell_backend.h"
#include "app/node_state.h"
#include "command/execute.h"
#include "controllers/job_entries.h"

namespace monsoon {

namespace {

constexpr Duration kDeclaredJobsInterval = milliseconds(500);
constexpr Duration kPeerCallTimeout = seconds(5);

Outcome GetOutcome(FailureKind aKind)
{
  const bool uncertain = aKind == FailureKind::WriteUnknown || aKind == FailureKind::PeerUnknown ||
                         aKind == FailureKind::Timeout;
  return uncertain ? Outcome::Unknown : Outcome::NotRun;
}

}  // namespace

Async<HttpResponse> Node::State::OnCommand(HttpRequest aRequest)
{
  CellBackend backend(*mLink, *mControl, mSettings);
  CommandExecutor<CellBackend> executor(backend);
  auto table = co_await executor.Run(std::move(aRequest.body()));
  if (!table) {
    const Failure& failure = table.error();
    co_return MakeProblem(GetStatus(failure.mKind), GetOutcome(failure.mKind), failure);
  }
  co_return MakeJsonResponse(http::status::ok, FormatJson(*table));
}

// Submits each declared job whose shard this process owns, once per epoch of the shard. Submitting
// a job again changes nothing.
Async<void> Node::State::SubmitDeclaredJobs()
{
  std::map<JobId, Epoch> submitted;  // with the shard's epoch at that time
  while (!mStopping) {
    const auto configuration = mControl->GetConfiguration();
    for (const auto& [id, spec] : configuration->mDeclared) {
      const auto epoch = mControl->MayActOnShard(FindShard(id), BootClock::now());
      const auto previous = submitted.find(id);
      if (!epoch || (previous != submitted.end() && previous->second == *epoch))
        continue;
      const JobSubmit submit{ spec };
      const PeerRequest request(submit);
      const auto reply = co_await mLink->Call(mSettings.mProcess.mName, request, kPeerCallTimeout);
      if (reply || reply.error().mKind == FailureKind::Conflict)
        submitted[id] = *epoch;
    }
    std::erase_if(submitted, [&](const auto& aItem) {
      return !configuration->mDeclared.contains(aItem.first);
    });
    co_await Sleep(kDeclaredJobsInterval);
  }
}

}  // namespace monsoon
