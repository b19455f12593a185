#include "worker/http_worker.h"

#include <boost/json.hpp>

#include "core/json.h"
#include "worker/wire.h"

namespace monsoon {

HttpWorker::HttpWorker(HttpClient& aClient)
  : mClient(aClient)
{
}

Async<Result<HttpResponse>> HttpWorker::Post(const WorkerSpec& aWorker,
                                             std::string aTarget,
                                             std::string aBody,
                                             Duration aDeadline)
{
  HttpRequest request(http::verb::post, aTarget, 11);
  request.body() = std::move(aBody);
  // The address is a named object because g++ 12 destroys an aggregate twice if it is built inside
  // a co_await expression.
  const HttpAddress address{ aWorker.mHost, aWorker.mPort };
  auto response = co_await mClient.Call(address, std::move(request), aDeadline);
  if (!response)
    co_return response.error();
  if (response->count(kRefusedHeader))
    co_return MakeFailure(FailureKind::EndpointRefused, response->body());
  if (response->result() != http::status::ok)
    co_return MakeFailure(FailureKind::EndpointUnknown,
                          "endpoint answered " + std::to_string(response->result_int()));
  co_return response;
}

Async<Result<RunAnswer>> HttpWorker::Run(const WorkerSpec& aWorker,
                                         const RequestSpec& aRequest,
                                         const Grant& aGrant,
                                         Duration aDeadline)
{
  HttpRequest request(http::verb::post, "/v1/run", 11);
  request.set(kRequestIdHeader, aRequest.mId);
  request.set(kGrantEpochHeader, std::to_string(aGrant.mEpoch));
  request.set(kStartBeforeHeader, std::to_string(aGrant.mStartBefore));
  request.body() = aRequest.mBody;
  // The address is a named object because g++ 12 destroys an aggregate twice if it is built inside
  // a co_await expression.
  const HttpAddress address{ aWorker.mHost, aWorker.mPort };
  auto response = co_await mClient.Call(address, std::move(request), aDeadline);
  if (!response)
    co_return response.error();
  if (response->count(kRefusedHeader))
    co_return MakeFailure(FailureKind::EndpointRefused, response->body());
  // The answer to another request must never reach this caller.
  if ((*response)[kRequestIdHeader] != aRequest.mId)
    co_return MakeFailure(FailureKind::EndpointUnknown,
                          "the response has the Request-Id of another request");
  co_return RunAnswer{ response->result_int(), std::move(response->body()) };
}

Async<Result<void>> HttpWorker::Start(const WorkerSpec& aWorker,
                                      const TaskStart& aStart,
                                      std::int64_t aStartBefore,
                                      Duration aLease,
                                      Duration aDeadline)
{
  auto response = co_await Post(aWorker,
                                "/v1/tasks/start",
                                boost::json::serialize(MakeJson(aStart, aStartBefore, aLease)),
                                aDeadline);
  if (!response)
    co_return response.error();
  co_return Result<void>();
}

Async<Result<void>> HttpWorker::Stop(const WorkerSpec& aWorker,
                                     const TaskStop& aStop,
                                     Duration aDeadline)
{
  auto response =
    co_await Post(aWorker, "/v1/tasks/stop", boost::json::serialize(MakeJson(aStop)), aDeadline);
  if (!response)
    co_return response.error();
  co_return Result<void>();
}

Async<Result<Inventory>> HttpWorker::Renew(const WorkerSpec& aWorker,
                                           const LeaseRenewal& aRenewal,
                                           Duration aDeadline)
{
  auto response =
    co_await Post(aWorker, "/v1/renew", boost::json::serialize(MakeJson(aRenewal)), aDeadline);
  if (!response)
    co_return response.error();
  auto value = ParseJson(response->body());
  if (!value)
    co_return value.error();
  co_return ParseInventory(*value);
}

}  // namespace monsoon
