// Runs the filters of a request: enters them in order and leaves them in reverse order.
#pragma once

#include <algorithm>
#include <tuple>

#include "filters/admission.h"
#include "filters/answer.h"
#include "filters/dispatch.h"
#include "filters/idempotency.h"
#include "filters/limits.h"
#include "filters/placement.h"

namespace monsoon {

// A filter decided an outcome that is missing from its kOutcomes. Only a fault in a filter causes
// this.
struct UnlistedOutcome
{
  std::size_t mFilter = 0;  // index in the chain
  FilterOutcome mOutcome{};
};

// Each filter has kOutcomes, Enter and Leave.
template<class Environment, template<class> class... Filters>
class Chain
{
public:
  explicit Chain(Environment aEnvironment)
    : mFilters{ Filters<Environment>{ aEnvironment }... }
  {
  }

  // Runs one request until a filter decides its outcome. FilterStep::NewAttempt continues at the
  // filter with index aRetryFrom.
  template<std::size_t aRetryFrom>
  Async<void> Run(RequestContext& aContext)
  {
    std::size_t at = 0;
    std::size_t entered = 0;
    while (at < sizeof...(Filters)) {
      entered = std::max(entered, at + 1);
      const FilterStep step = co_await Enter(at, aContext);
      if (step == FilterStep::Done) {
        CheckOutcome(at, aContext);
        break;
      }
      at = step == FilterStep::NewAttempt ? aRetryFrom : at + 1;
    }
    while (entered > 0)
      co_await Leave(--entered, aContext);
  }

  [[nodiscard]] const std::optional<UnlistedOutcome>& GetUnlistedOutcome() const
  {
    return mUnlistedOutcome;
  }

private:
  static constexpr auto kIndexes = std::index_sequence_for<Filters<Environment>...>{};

  Async<FilterStep> Enter(std::size_t aAt, RequestContext& aContext)
  {
    return EnterAt(aAt, aContext, kIndexes);
  }
  Async<void> Leave(std::size_t aAt, RequestContext& aContext)
  {
    return LeaveAt(aAt, aContext, kIndexes);
  }

  template<std::size_t... aIndexes>
  Async<FilterStep> EnterAt(std::size_t aAt,
                            RequestContext& aContext,
                            std::index_sequence<aIndexes...>)
  {
    std::optional<Async<FilterStep>> step;
    ((aAt == aIndexes ? void(step.emplace(std::get<aIndexes>(mFilters).Enter(aContext))) : void()),
     ...);
    return std::move(*step);
  }

  template<std::size_t... aIndexes>
  Async<void> LeaveAt(std::size_t aAt, RequestContext& aContext, std::index_sequence<aIndexes...>)
  {
    std::optional<Async<void>> left;
    ((aAt == aIndexes ? void(left.emplace(std::get<aIndexes>(mFilters).Leave(aContext))) : void()),
     ...);
    return std::move(*left);
  }

  // Records an outcome that the filter at aAt decided without listing it.
  void CheckOutcome(std::size_t aAt, const RequestContext& aContext)
  {
    FilterOutcome outcome{ aContext.mMachine.GetOutcome() };
    if (outcome.mOutcome != Outcome::Answered && aContext.mFailure)
      outcome.mKind = aContext.mFailure->mKind;
    std::size_t i = 0;
    const auto check = [&](const auto& aOutcomes) {
      const bool listed = std::find(aOutcomes.begin(), aOutcomes.end(), outcome) != aOutcomes.end();
      if (i++ == aAt && !listed)
        mUnlistedOutcome = UnlistedOutcome{ aAt, outcome };
    };
    (check(Filters<Environment>::kOutcomes), ...);
  }

  std::tuple<Filters<Environment>...> mFilters;
  std::optional<UnlistedOutcome> mUnlistedOutcome{};
};

template<class Environment>
using RequestChain = Chain<Environment,
                           AnswerFilter,
                           LimitsFilter,
                           IdempotencyFilter,
                           AdmissionFilter,
                           PlacementFilter,
                           DispatchFilter>;

// Index of PlacementFilter in RequestChain. New attempts begin there.
inline constexpr std::size_t kPlacementFilter = 4;

// Runs a parsed request through RequestChain and returns its HTTP response. The objects that
// aEnvironment refers to must outlive the I/O contexts, because background work still uses them.
template<class Environment>
Async<HttpResponse> RunRequest(Environment aEnvironment, RequestSpec aSpec)
{
  RequestContext context;
  context.mArrivedAt = BootClock::now();
  context.mDeadline = context.mArrivedAt + aSpec.mTimeout;
  context.mCallId = aEnvironment.mShared.MakeCallId(aEnvironment.mSettings.mSelf);
  if (aSpec.mId.empty())
    aSpec.mId = context.mCallId;
  context.mSpec = std::move(aSpec);
  RequestChain<Environment> chain(aEnvironment);
  co_await chain.template Run<kPlacementFilter>(context);
  co_return std::move(context.mResponse);
}

}  // namespace monsoon
