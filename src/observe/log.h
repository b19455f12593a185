// Logging. A line consists of the name of the part, a short sentence and fields; each decision is
// logged in one line.
//
//   Log(LogPart::Route, LogLevel::Info, "picked a worker",
//       { { "request", id }, { "worker", worker }, { "passed_over", "worker-2: full" } });
//   → 2026-01-31 06:00:00,120 INFO  route: picked a worker request=r-1 worker=worker-3
//     passed_over="worker-2: full"
//
// Any thread may log at any time; before ConfigureLog and after StopLog nothing is written. Writing
// is asynchronous and never blocks the caller: a full queue drops lines below Warn and logs how
// many were dropped. The log is global, so several nodes in one program share it.
//
// Index
//   Parts and levels
//   Fields
//   Writing
//   Configuration
#pragma once

#include <atomic>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "core/time.h"

namespace monsoon {

// Parts and levels
enum class LogPart : std::uint8_t
{
  Process,     // "process": start, stop, settings
  Membership,  // "membership"
  Ownership,   // "ownership"
  Journal,     // "journal"
  Config,      // "config": the cell's configuration
  Store,       // "store": calls to the platform
  Peer,        // "peer": links between processes
  Route,       // "route": which worker a request goes to
  Request,     // "request": outcomes of requests
  Place,       // "place": which worker a task goes to
  Task,        // "task": starts, leases and ends of tasks
  Job,         // "job": lifecycle of jobs and shards
  Drain,       // "drain": workers and processes that are leaving
  Http,        // "http": malformed or refused input
  Command,     // "command": commands of operators
};
inline constexpr std::size_t kLogParts = 15;

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warn,
  Error,
  Off,  // only for settings: writes nothing
};

[[nodiscard]] std::string_view GetName(LogPart aPart) noexcept;
[[nodiscard]] std::string_view GetName(LogLevel aLevel) noexcept;

// Fields: a key and a value. Texts are not copied; Log reads them before it returns.
class LogField
{
public:
  LogField(std::string_view aKey, std::string_view aText)
    : mKey(aKey)
    , mText(aText)
  {
  }
  LogField(std::string_view aKey, const std::string& aText)
    : LogField(aKey, std::string_view(aText))
  {
  }
  LogField(std::string_view aKey, const char* aText)
    : LogField(aKey, std::string_view(aText))
  {
  }
  template<std::integral T>
  LogField(std::string_view aKey, T aNumber)
    : mKey(aKey)
    , mKind(Kind::Number)
    , mNumber(static_cast<std::int64_t>(aNumber))
  {
  }
  LogField(std::string_view aKey, double aReal)
    : mKey(aKey)
    , mKind(Kind::Real)
    , mReal(aReal)
  {
  }
  LogField(std::string_view aKey, Duration aDuration)  // written in ms
    : mKey(aKey)
    , mKind(Kind::Real)
    , mReal(std::chrono::duration<double, std::milli>(aDuration).count())
  {
  }

  void AppendTo(std::string& aLine) const;  // " key=value"; the value is quoted where needed

private:
  enum class Kind : std::uint8_t
  {
    Text,
    Number,
    Real
  };

  std::string_view mKey;
  Kind mKind = Kind::Text;
  std::string_view mText{};
  std::int64_t mNumber = 0;
  double mReal = 0;
};

// Writing
namespace detail {
extern std::atomic<std::uint8_t> gLogLevels[kLogParts];  // lowest enabled level of each part
void WriteLog(LogPart aPart,
              LogLevel aLevel,
              std::string_view aSentence,
              std::initializer_list<LogField> aFields);
}  // namespace detail

// Returns whether a line would be written. Check this first where a field is expensive to compute.
[[nodiscard]] inline bool IsLogEnabled(LogPart aPart, LogLevel aLevel) noexcept
{
  const auto lowest =
    detail::gLogLevels[static_cast<std::size_t>(aPart)].load(std::memory_order_relaxed);
  return static_cast<std::uint8_t>(aLevel) >= lowest;
}

inline void Log(LogPart aPart,
                LogLevel aLevel,
                std::string_view aSentence,
                std::initializer_list<LogField> aFields = {})
{
  if (IsLogEnabled(aPart, aLevel))
    detail::WriteLog(aPart, aLevel, aSentence, aFields);
}

// Configuration
enum class LogTarget : std::uint8_t
{
  StandardError,
  StandardOutput
};

struct LogSettings
{
  LogLevel mLevel = LogLevel::Info;
  LogTarget mTarget = LogTarget::StandardError;  // used when mFile is empty
  std::string mFile{};                           // appended to; empty: mTarget is used
  std::uint32_t mQueueLines = 16'384;            // capacity of the writer thread's queue
};

void ConfigureLog(const LogSettings& aSettings);
void SetLogLevel(LogPart aPart, LogLevel aLevel) noexcept;  // call after ConfigureLog
void StopLog();                                             // writes the queued lines, then closes

}  // namespace monsoon
