// Runs the filters of a request in order, and leaves them in reverse order.
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

// Which filter decided an outcome that it does not list; empty when all is well.
struct ForeignOutcome
{
  std::size_t mFilter = 0;
  FilterOutcome mOutcome{};
};

template<class Environment, template<class> class... Filters>
class Chain
{
public:
  explicit Chain(Environment aEnvironment)
    : mFilters{ Filters<Environment>{ aEnvironment }... }
  {
  }

  // aRetryFrom: the filter that begins a new attempt.
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
      at = step == FilterStep::Again ? aRetryFrom : at + 1;
    }
    while (entered > 0)
      co_await Leave(--entered, aContext);
  }

  [[nodiscard]] const std::optional<ForeignOutcome>& GetForeign() const { return mForeign; }

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

  void CheckOutcome(std::size_t aAt, const RequestContext& aContext)
  {
    FilterOutcome outcome{ aContext.mMachine.GetOutcome() };
    if (outcome.mOutcome != Outcome::Answered && aContext.mFailure)
      outcome.mKind = aContext.mFailure->mKind;
    std::size_t i = 0;
    const auto check = [&](const auto& aOutcomes) {
      const bool listed = std::find(aOutcomes.begin(), aOutcomes.end(), outcome) != aOutcomes.end();
      if (i++ == aAt && !listed)
        mForeign = ForeignOutcome{ aAt, outcome };
    };
    (check(Filters<Environment>::kOutcomes), ...);
  }

  std::tuple<Filters<Environment>...> mFilters;
  std::optional<ForeignOutcome> mForeign{};
};

template<class Environment>
using RequestChain = Chain<Environment,
                           AnswerFilter,
                           LimitsFilter,
                           IdempotencyFilter,
                           AdmissionFilter,
                           PlacementFilter,
                           DispatchFilter>;

inline constexpr std::size_t kPlacementFilter = 4;  // where a new attempt begins

// Runs one parsed request to its HTTP answer. aEnvironment's objects must outlive the I/O contexts.
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
