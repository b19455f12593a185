// Every failure has a kind. A Failure travels in Result across suspension points and in peer
// replies; boost::leaf carries the richer error objects of synchronous parsing (settings, language,
// entries).
#pragma once

#include <boost/system/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoon {

// Kinds
enum class FailureKind : std::uint8_t
{
  Internal,       // a broken invariant of our own
  BadInput,       // malformed or out of range; the sender's fault
  NotFound,       // no such key, job, worker or process
  AlreadyExists,  // create-if-absent found a value
  Conflict,       // compare-and-swap or `if revision N` lost
  Fenced,         // a later epoch exists; the sender must stop acting
  NotOwner,       // this process does not own the worker or shard; mDetail names the owner if known
  StoreUnavailable,  // the platform's store did not answer, or answered "try later"; nothing took
                     // effect
  WriteUnknown,      // the store's answer was lost; the write may or may not have taken effect
  BudgetExhausted,   // call or retry budget of our own is used up
  Timeout,           // the deadline passed
  PeerUnreachable,   // another monsoonstage process could not be reached; nothing was handed over
  PeerUnknown,       // the message may have reached the peer; its answer did not reach us
  EndpointUnreachable,  // no byte of the work was written
  EndpointRefused,      // the endpoint refused explicitly: the work did not run
  EndpointUnknown,      // bytes were written and no whole answer came back
  CapacityFull,         // nothing free before the deadline
  QuotaExceeded,        // the team's quota has no room
  NeverFits,            // no VM that exists could run it
  Draining,             // the process is stopping
  NotReady,             // configuration head not confirmed, or no lease
  Cancelled,            // the caller withdrew it
  CorruptEntry,         // a journal entry could not be decoded
  TooLarge,             // a body, value or message above its limit
  RateLimited,          // the caller is above its share
};

// One failure: its kind for programs, a short detail for people.
struct Failure
{
  FailureKind mKind = FailureKind::Internal;  // what callers branch on
  std::string mDetail{};                      // short sentence; never parsed

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKind, mDetail);
  }
};

// The stable name of a kind, as in problem JSON, metrics and logs (snake_case).
[[nodiscard]] std::string_view GetName(FailureKind aKind) noexcept;

// Result
template<class T>
using Result = boost::system::result<T, Failure>;

[[nodiscard]] inline Failure MakeFailure(FailureKind aKind, std::string aDetail = {})
{
  return Failure{ aKind, std::move(aDetail) };
}

// What a caller may be told about work that gave no answer.
enum class Outcome : std::uint8_t
{
  Answered,  // a whole answer is there
  NotRun,    // the work truly did not run
  Unknown,   // it may have run
};

[[nodiscard]] std::string_view GetName(Outcome aOutcome) noexcept;

// Needed by boost::system::result<T, Failure>::value().
[[noreturn]] void throw_exception_from_error(const Failure& aFailure,
                                             const boost::source_location& aWhere);

}  // namespace monsoon
