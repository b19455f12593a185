// The stand-in endpoint misbehaves on demand, and its client calls each case by its name.
#include <catch2/catch.hpp>

#include "standin/worker.h"
#include "worker/http_worker.h"

using namespace monsoon;

namespace {

struct Fixture
{
  asio::io_context mContext{ 1 };
  standin::Worker mWorker{ mContext, MakeSpec() };
  HttpClient mHttp{};
  HttpWorker mClient{ mHttp };

  static WorkerSpec MakeSpec()
  {
    WorkerSpec spec;
    spec.mName = "w0";
    spec.mCapacity = { 32000, 131072, 0, 8, 60 };
    return spec;
  }

  Result<RunAnswer> Run(const RequestId& aId, std::string aBody)
  {
    RequestSpec request;
    request.mId = aId;
    request.mBody = std::move(aBody);
    std::optional<Result<RunAnswer>> answer;
    asio::co_spawn(
      mContext,
      [&]() -> Async<void> {
        const WorkerSpec spec = mWorker.GetSpec();
        const Grant grant{};
        auto some = co_await mClient.Run(spec, request, grant, milliseconds(500));
        answer.emplace(std::move(some));
        mContext.stop();
      },
      asio::detached);
    mContext.restart();
    mContext.run_for(seconds(20));
    return answer ? std::move(*answer) : MakeFailure(FailureKind::Internal);
  }
};

}  // namespace

TEST_CASE("half, closed and stalled answers are unknown, never whole", "[standin]")
{
  Fixture f;
  REQUIRE(f.mWorker.Listen().has_value());
  const auto whole = f.Run("r0", R"({"run_ms":1})");
  REQUIRE(whole.has_value());
  CHECK(whole->mBody.find("\"r0\"") != std::string::npos);
  for (const char* body : { R"({"run_ms":1,"half":true,"bytes":100})",
                            R"({"run_ms":1,"close":true})",
                            R"({"run_ms":1,"stall":true})" }) {
    const auto answer = f.Run(body, body);
    REQUIRE(answer.has_error());
    const FailureKind kind = answer.error().mKind;
    CHECK((kind == FailureKind::EndpointUnknown || kind == FailureKind::Timeout));
  }
  CHECK(f.mWorker.GetEvidence().mRequestsRun == 4);
}
