#include "core/errors.h"

#include <stdexcept>

namespace monsoon {

std::string_view GetName(FailureKind aKind) noexcept
{
  switch (aKind) {
    case FailureKind::Internal:
      return "internal";
    case FailureKind::BadInput:
      return "bad_input";
    case FailureKind::NotFound:
      return "not_found";
    case FailureKind::AlreadyExists:
      return "already_exists";
    case FailureKind::Conflict:
      return "conflict";
    case FailureKind::Fenced:
      return "fenced";
    case FailureKind::NotOwner:
      return "not_owner";
    case FailureKind::StoreUnavailable:
      return "store_unavailable";
    case FailureKind::WriteUnknown:
      return "write_unknown";
    case FailureKind::BudgetExhausted:
      return "budget_exhausted";
    case FailureKind::Timeout:
      return "timeout";
    case FailureKind::PeerUnreachable:
      return "peer_unreachable";
    case FailureKind::PeerUnknown:
      return "peer_unknown";
    case FailureKind::EndpointUnreachable:
      return "endpoint_unreachable";
    case FailureKind::EndpointRefused:
      return "endpoint_refused";
    case FailureKind::EndpointUnknown:
      return "endpoint_unknown";
    case FailureKind::CapacityFull:
      return "capacity_full";
    case FailureKind::QuotaExceeded:
      return "quota_exceeded";
    case FailureKind::NeverFits:
      return "never_fits";
    case FailureKind::Draining:
      return "draining";
    case FailureKind::NotReady:
      return "not_ready";
    case FailureKind::Cancelled:
      return "cancelled";
    case FailureKind::CorruptEntry:
      return "corrupt_entry";
    case FailureKind::TooLarge:
      return "too_large";
    case FailureKind::RateLimited:
      return "rate_limited";
  }
  return "internal";
}

std::string_view GetName(Outcome aOutcome) noexcept
{
  switch (aOutcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::NotRun:
      return "not_run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

void throw_exception_from_error(const Failure& aFailure, const boost::source_location&)
{
  throw std::runtime_error(std::string(GetName(aFailure.mKind)) + ": " + aFailure.mDetail);
}

}  // namespace monsoon
