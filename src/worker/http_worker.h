// HTTP client for the endpoints of workers (concept WorkerClient).
#pragma once

#include "core/concepts.h"
#include "http/client.h"

namespace monsoon {

class HttpWorker
{
public:
  explicit HttpWorker(HttpClient& aClient);

  Async<Result<RunAnswer>> Run(const WorkerSpec& aWorker,
                               const RequestSpec& aRequest,
                               const Grant& aGrant,
                               Duration aDeadline);
  Async<Result<void>> Start(const WorkerSpec& aWorker,
                            const TaskStart& aStart,
                            std::int64_t aStartBefore,
                            Duration aLease,
                            Duration aDeadline);
  Async<Result<void>> Stop(const WorkerSpec& aWorker, const TaskStop& aStop, Duration aDeadline);
  Async<Result<Inventory>> Renew(const WorkerSpec& aWorker,
                                 const LeaseRenewal& aRenewal,
                                 Duration aDeadline);

private:
  // Posts a JSON body. Any status but 200 is a failure.
  Async<Result<HttpResponse>> Post(const WorkerSpec& aWorker,
                                   std::string aTarget,
                                   std::string aBody,
                                   Duration aDeadline);

  HttpClient& mClient;
};

}  // namespace monsoon
