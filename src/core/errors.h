// Failures and their kinds. Asynchronous functions and peer replies carry a Failure in a Result;
// synchronous parsing (settings, operators' language, entries) reports more detailed error objects
// through boost::leaf.
#pragma once

#include <boost/system/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoon {

// Kinds
enum class FailureKind : std::uint8_t
{
  Internal,       // an invariant of this program is broken
  BadInput,       // malformed or out of range; the sender must correct it
  NotFound,       // no such key, job, worker or process
  AlreadyExists,  // create found an existing value
  Conflict,       // compare-and-swap or `if revision N` found another revision
  Fenced,         // a later epoch exists; the sender must stop acting
  NotOwner,       // this process does not own the worker or shard; mDetail names the owner if known
  StoreUnavailable,  // the platform's store did not answer, or answered "try later"; the call had
                     // no effect
  WriteUnknown,      // the store's response was lost; the write may have taken effect
  BudgetExhausted,   // this process's call or retry budget is used up
  Timeout,           // the deadline passed
  PeerUnreachable,   // the connection to another monsoonstage process failed; nothing was delivered
  PeerUnknown,       // the message may have reached the peer; no response arrived
  EndpointUnreachable,  // no byte of the request was written
  EndpointRefused,      // the endpoint refused explicitly; the work did not run
  EndpointUnknown,      // bytes were written, but no complete response arrived
  CapacityFull,         // no capacity became free before the deadline
  QuotaExceeded,        // the team's quota is used up
  NeverFits,            // no existing VM is large enough
  Draining,             // the process is stopping
  NotReady,             // the configuration is not confirmed as current yet, or there is no lease
  Cancelled,            // the caller cancelled the work
  CorruptEntry,         // a journal entry could not be decoded
  TooLarge,             // a body, value or message exceeds its limit
  RateLimited,          // the caller exceeds its share
};

// A failure: a kind for programs and a short detail for people.
struct Failure
{
  FailureKind mKind = FailureKind::Internal;  // decides how callers react
  std::string mDetail{};                      // a short sentence; never parsed

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKind, mDetail);
  }
};

// Returns the stable snake_case name of a kind, as used in problem JSON, metrics and logs.
[[nodiscard]] std::string_view GetName(FailureKind aKind) noexcept;

// Result
template<class T>
using Result = boost::system::result<T, Failure>;

[[nodiscard]] inline Failure MakeFailure(FailureKind aKind, std::string aDetail = {})
{
  return Failure{ aKind, std::move(aDetail) };
}

// What a caller learns about whether its work ran.
enum class Outcome : std::uint8_t
{
  Answered,  // a complete response is available
  NotRun,    // the work did not run
  Unknown,   // the work may have run
};

[[nodiscard]] std::string_view GetName(Outcome aOutcome) noexcept;

// Called by boost::system::result<T, Failure>::value() when the result holds a failure.
[[noreturn]] void throw_exception_from_error(const Failure& aFailure,
                                             const boost::source_location& aWhere);

}  // namespace monsoon
