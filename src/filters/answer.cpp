#include "filters/answer.h"

#include "worker/wire.h"

namespace monsoon {

HttpResponse MakeResponse(RequestContext& aContext)
{
  const Outcome outcome = aContext.mMachine.GetOutcome();
  HttpResponse response;
  if (outcome == Outcome::Answered && aContext.mAnswer) {
    response = MakeJsonResponse(http::int_to_status(aContext.mAnswer->mStatus),
                                std::move(aContext.mAnswer->mBody));
  } else {
    const Failure failure = aContext.mFailure.value_or(
      MakeFailure(FailureKind::Internal, "a request ended without an outcome"));
    response = MakeProblem(GetStatus(failure.mKind), outcome, failure);
  }
  response.set(kRequestIdHeader, aContext.mSpec.mId);
  if (aContext.mReplayed)
    response.set(kReplayedHeader, "yes");
  return response;
}

}  // namespace monsoon
