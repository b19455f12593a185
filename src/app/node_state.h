// Node::State: the parts of a node and the handlers that connect them. Internal to
// src/app/node*.cpp.
#pragma once

#include <atomic>
#include <thread>

#include "app/control_plane.h"
#include "app/node.h"
#include "app/work_plane.h"
#include "filters/context.h"
#include "http/client.h"
#include "http/server.h"
#include "observe/log.h"
#include "observe/metrics.h"
#include "peer/link.h"
#include "worker/http_worker.h"

namespace monsoon {

// An io_context whose suspended coroutines can be destroyed while the objects that they refer to,
// and the timers of these objects, still exist.
class NodeContext : public asio::io_context
{
public:
  NodeContext()
    : asio::io_context(1)
  {
  }
  void DestroyPendingHandlers() { shutdown(); }  // call it after the context's thread has ended
};

struct ScrapedTotals  // totals at the last scrape of /metrics
{
  StoreCounts mStoreCalls{};
  std::uint64_t mCrossZoneBytes = 0;
  std::uint64_t mPeerBytes = 0;
};

struct Node::State
{
  explicit State(Settings aSettings);

  // Lifecycle (node.cpp)
  Result<void> Start();
  void Stop();
  Async<Result<PeerReply>> OnPeer(ProcessName aFrom, PeerRequest aRequest);

  // HTTP (node_http.cpp)
  Async<HttpResponse> OnHttp(HttpRequest aRequest, std::string aPeerAddress);
  Async<HttpResponse> OnRequest(HttpRequest aRequest, std::string aPeerAddress);
  Async<HttpResponse> OnSubmit(HttpRequest aRequest);
  Async<HttpResponse> OnJob(HttpRequest aRequest, JobId aId);
  Async<HttpResponse> ShowJob(JobId aId, Duration aWait);
  Async<HttpResponse> CancelJob(JobId aId);
  HttpResponse ShowReadiness() const;

  // Metrics (node_metrics.cpp)
  void RecordRequest(const RequestContext& aContext);
  void RecordPlacement(const TaskShape& aShape,
                       std::size_t aTasks,
                       Duration aWaited,
                       Duration aTook);
  void UpdateGauges();
  HttpResponse ShowMetrics();

  // Operators' commands and declared jobs (node_commands.cpp)
  Async<HttpResponse> OnCommand(HttpRequest aRequest);
  Async<void> SubmitDeclaredJobs();

  [[nodiscard]] ShardIndex FindShard(const JobId& aId) const;
  [[nodiscard]] std::string MakeId(std::string_view aPrefix);

  Settings mSettings;
  RequestSettings mRequestSettings;
  Metrics mMetrics{};
  NodeMetrics mNodeMetrics{ mMetrics };
  std::mutex mScrapeLock{};
  ScrapedTotals mLastScrape{};
  std::vector<std::unique_ptr<NodeContext>> mContexts{};
  std::vector<std::thread> mThreads{};
  std::atomic<bool> mStopping = false;
  HttpClient mClient{};
  HttpStore mHttpStore;
  CellStore mStore;
  HttpWorker mWorkers;
  RequestShared mShared;
  std::unique_ptr<PeerLink> mLink{};
  std::unique_ptr<ControlPlane> mControl{};
  std::unique_ptr<WorkPlane> mWork{};
  std::unique_ptr<HttpServer> mServer{};
  std::uint16_t mHttpPort = 0;
  std::uint64_t mStartMillis = 0;  // part of generated ids; they stay unique across restarts
  std::atomic<std::uint64_t> mNextId = 1;
};

}  // namespace monsoon
