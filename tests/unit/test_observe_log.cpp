#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <unistd.h>

#include "observe/log.h"

using namespace monsoon;

namespace {

std::string ReadAll(const std::filesystem::path& aFile)
{
  std::ifstream in(aFile);
  std::ostringstream out;
  out << in.rdbuf();
  return std::move(out).str();
}

struct LogFile
{
  LogFile() { std::filesystem::remove(mPath); }
  ~LogFile()
  {
    StopLog();
    std::filesystem::remove(mPath);
  }
  std::filesystem::path mPath =
    std::filesystem::temp_directory_path() / ("monsoonstage-log-" + std::to_string(getpid()));
};

}  // namespace

TEST_CASE("a log line has its part's prefix, the sentence and its fields", "[log]")
{
  const LogFile file;
  Log(LogPart::Route, LogLevel::Error, "dropped: nothing is configured yet");
  ConfigureLog({ .mLevel = LogLevel::Info, .mFile = file.mPath.string() });
  const std::string request = "r-1";
  Log(LogPart::Route,
      LogLevel::Info,
      "picked a worker",
      { { "request", request }, { "passed", 2 }, { "why", "slow\nfull" }, { "wait_ms", 1.5 } });
  Log(LogPart::Route, LogLevel::Debug, "below the level");
  SetLogLevel(LogPart::Task, LogLevel::Off);
  Log(LogPart::Task, LogLevel::Error, "its part is off");
  StopLog();
  Log(LogPart::Route, LogLevel::Error, "after the stop");

  const std::string text = ReadAll(file.mPath);
  CHECK(text.find("INFO  route: picked a worker request=r-1 passed=2 why=\"slow?full\" "
                  "wait_ms=1.5\n") != std::string::npos);
  CHECK(std::count(text.begin(), text.end(), '\n') == 1);
}

TEST_CASE("threads may log while the log is configured and stopped", "[log]")
{
  const LogFile file;
  std::atomic<bool> done = false;
  std::vector<std::thread> threads;
  for (int i = 0; i < 3; ++i)
    threads.emplace_back([&] {
      while (!done)
        Log(LogPart::Task, LogLevel::Info, "started", { { "task", 1 } });
    });
  for (int i = 0; i < 20; ++i) {
    ConfigureLog({ .mLevel = LogLevel::Info, .mFile = file.mPath.string() });
    StopLog();
  }
  done = true;
  for (std::thread& it : threads)
    it.join();
  SUCCEED();
}
