#include "observe/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>

#include <charconv>
#include <memory>
#include <mutex>
#include <utility>

namespace monsoon {

namespace {

constexpr auto kOff = static_cast<std::uint8_t>(LogLevel::Off);
constexpr const char* kLayout = "%d{yyyy-MM-dd HH:mm:ss,SSS} %-5p %m%n";
constexpr const char* kLoggerName = "monsoonstage";

// Owns the appender. ConfigureLog and StopLog replace the sink as a whole: a thread that is writing
// a line keeps the old sink alive, and the last reference closes it.
struct Sink
{
  explicit Sink(std::shared_ptr<log4cxx::AsyncAppender> aAppender)
    : mAppender(std::move(aAppender))
  {
  }
  ~Sink() { mAppender->close(); }
  Sink(const Sink&) = delete;
  Sink& operator=(const Sink&) = delete;

  std::shared_ptr<log4cxx::AsyncAppender> mAppender;
};

std::mutex gSinkLock;
std::shared_ptr<const Sink> gSink;

std::shared_ptr<const Sink> GetSink()
{
  std::lock_guard lock(gSinkLock);
  return gSink;
}

log4cxx::LevelPtr GetLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warn:
      return log4cxx::Level::getWarn();
    default:
      return log4cxx::Level::getError();
  }
}

log4cxx::AppenderPtr MakeOutputAppender(const LogSettings& aSettings)
{
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kLayout);
  if (!aSettings.mFile.empty())
    return std::make_shared<log4cxx::FileAppender>(layout, aSettings.mFile, true);
  return std::make_shared<log4cxx::ConsoleAppender>(layout,
                                                    aSettings.mTarget == LogTarget::StandardOutput
                                                      ? log4cxx::ConsoleAppender::getSystemOut()
                                                      : log4cxx::ConsoleAppender::getSystemErr());
}

bool IsSafeUnquoted(char aChar)
{
  return aChar > ' ' && aChar != '"' && aChar != '=' && aChar != '\\' && aChar != '\x7f';
}

// Appends aText in quotes. Fields can contain input of callers, so control characters are replaced:
// a line break must not start a new log line.
void AppendQuoted(std::string& aLine, std::string_view aText)
{
  aLine += '"';
  for (const char c : aText) {
    const bool control = static_cast<unsigned char>(c) < ' ' || c == '\x7f';
    if (c == '"' || c == '\\')
      aLine += '\\';
    aLine += control ? '?' : c;
  }
  aLine += '"';
}

}  // namespace

std::atomic<std::uint8_t> detail::gLogLevels[kLogParts] = { kOff, kOff, kOff, kOff, kOff,
                                                            kOff, kOff, kOff, kOff, kOff,
                                                            kOff, kOff, kOff, kOff, kOff };

std::string_view GetName(LogPart aPart) noexcept
{
  static constexpr std::string_view kNames[kLogParts] = {
    "process", "membership", "ownership", "journal", "config", "store", "peer",   "route",
    "request", "place",      "task",      "job",     "drain",  "http",  "command"
  };
  return kNames[static_cast<std::size_t>(aPart)];
}

std::string_view GetName(LogLevel aLevel) noexcept
{
  static constexpr std::string_view kNames[] = { "debug", "info", "warn", "error", "off" };
  return kNames[static_cast<std::size_t>(aLevel)];
}

void LogField::AppendTo(std::string& aLine) const
{
  aLine += ' ';
  aLine += mKey;
  aLine += '=';
  char buf[32];
  switch (mKind) {
    case Kind::Text: {
      bool plain = !mText.empty();
      for (const char c : mText)
        plain = plain && IsSafeUnquoted(c);
      if (plain)
        aLine += mText;
      else
        AppendQuoted(aLine, mText);
      return;
    }
    case Kind::Number: {
      const auto end = std::to_chars(std::begin(buf), std::end(buf), mNumber).ptr;
      aLine.append(std::begin(buf), end);
      return;
    }
    case Kind::Real: {
      constexpr int kDigits = 6;
      const auto end =
        std::to_chars(std::begin(buf), std::end(buf), mReal, std::chars_format::general, kDigits)
          .ptr;
      aLine.append(std::begin(buf), end);
      return;
    }
  }
}

void detail::WriteLog(LogPart aPart,
                      LogLevel aLevel,
                      std::string_view aSentence,
                      std::initializer_list<LogField> aFields)
{
  const auto sink = GetSink();
  if (!sink)
    return;
  constexpr std::size_t kTypicalLineBytes = 200;
  std::string line;
  line.reserve(kTypicalLineBytes);
  line += GetName(aPart);
  line += ": ";
  line += aSentence;
  for (const LogField& it : aFields)
    it.AppendTo(line);
  const auto event = std::make_shared<log4cxx::spi::LoggingEvent>(
    kLoggerName, GetLevel(aLevel), line, log4cxx::spi::LocationInfo());
  log4cxx::helpers::Pool pool;
  sink->mAppender->doAppend(event, pool);
}

void ConfigureLog(const LogSettings& aSettings)
{
  StopLog();
  const auto appender = std::make_shared<log4cxx::AsyncAppender>();
  appender->setBufferSize(static_cast<int>(aSettings.mQueueLines));
  appender->setBlocking(false);
  appender->addAppender(MakeOutputAppender(aSettings));

  auto sink = std::make_shared<const Sink>(appender);
  {
    std::lock_guard lock(gSinkLock);
    gSink = std::move(sink);
  }
  for (auto& it : detail::gLogLevels)
    it = static_cast<std::uint8_t>(aSettings.mLevel);
}

void SetLogLevel(LogPart aPart, LogLevel aLevel) noexcept
{
  detail::gLogLevels[static_cast<std::size_t>(aPart)] = static_cast<std::uint8_t>(aLevel);
}

void StopLog()
{
  for (auto& it : detail::gLogLevels)
    it = kOff;
  std::shared_ptr<const Sink> sink;  // closed after the lock is released
  std::lock_guard lock(gSinkLock);
  sink = std::exchange(gSink, nullptr);
}

}  // namespace monsoon
