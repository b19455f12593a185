#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <iostream>
#include <thread>

#include "app/commands.h"
#include "app/signals.h"
#include "core/json.h"
#include "http/client.h"
#include "standin/platform.h"
#include "standin/worker.h"

namespace monsoon {

namespace {

// Adds the worker to the VM list of the platform stand-in, and retries until that succeeds.
Async<void> RegisterWorker(HttpClient& aClient, HttpAddress aPlatform, WorkerSpec aSpec)
{
  while (true) {
    HttpRequest request(http::verb::put, "/v1/vms/" + aSpec.mName, 11);
    request.body() = boost::json::serialize(MakeJson(aSpec));
    auto response = co_await aClient.Call(aPlatform, std::move(request), seconds(1));
    if (response && response->result() == http::status::ok)
      co_return;
    co_await Sleep(milliseconds(50));
  }
}

int RunUntilSignal(asio::io_context& aContext)
{
  std::thread thread([&aContext] {
    auto work = asio::make_work_guard(aContext);
    aContext.run();
  });
  WaitForStopSignal();
  aContext.stop();
  thread.join();
  return kExitSuccess;
}

int RunPlatform(const HttpAddress& aListen)
{
  asio::io_context context(1);
  standin::Platform platform(context);
  auto port = platform.Listen(aListen.mHost, aListen.mPort);
  if (!port) {
    std::cerr << port.error().mDetail << '\n';
    return kExitFailure;
  }
  std::cout << "listening on port " << *port << std::endl;
  return RunUntilSignal(context);
}

int RunWorker(const HttpAddress& aPlatform, WorkerSpec aSpec)
{
  asio::io_context context(1);
  HttpClient client;
  standin::Worker worker(context, std::move(aSpec));
  auto port = worker.Listen();
  if (!port) {
    std::cerr << port.error().mDetail << '\n';
    return kExitFailure;
  }
  std::cout << "listening on port " << *port << std::endl;
  asio::co_spawn(context, RegisterWorker(client, aPlatform, worker.GetSpec()), asio::detached);
  const int exitCode = RunUntilSignal(context);
  client.Clear();
  return exitCode;
}

}  // namespace

int RunStandin(Arguments aArguments)
{
  TCLAP::CmdLine line(
    "Runs a stand-in of the platform or of one worker until SIGTERM.", ' ', "0.1.0");
  std::vector<std::string> roles{ "platform", "worker" };
  TCLAP::ValuesConstraint<std::string> allowed(roles);
  TCLAP::UnlabeledValueArg<std::string> role(
    "role", "which stand-in to run", true, "", &allowed, line);
  TCLAP::ValueArg<std::string> listen(
    "l", "listen", "address to listen on", false, "127.0.0.1:0", "IP:PORT", line);
  TCLAP::ValueArg<std::string> platform(
    "p", "platform", "address of the platform", false, "127.0.0.1:7000", "IP:PORT", line);
  TCLAP::ValueArg<std::string> name(
    "n", "name", "the worker's name", false, "worker-1", "NAME", line);
  TCLAP::ValueArg<std::string> zone(
    "z", "zone", "the worker's availability zone", false, "zone-a", "NAME", line);
  TCLAP::ValueArg<std::string> rack(
    "r", "rack", "the worker's rack", false, "rack-1", "NAME", line);
  TCLAP::ValueArg<std::string> type(
    "", "accelerator-type", "type of the worker's accelerators", false, "", "NAME", line);
  TCLAP::ValueArg<int> cores("", "cores", "processor cores", false, 32, "N", line);
  TCLAP::ValueArg<int> memory("", "memory-gib", "memory in GiB", false, 128, "N", line);
  TCLAP::ValueArg<int> accelerators("", "accelerators", "accelerator devices", false, 0, "N", line);
  TCLAP::ValueArg<int> slots("", "slots", "request slots", false, 8, "N", line);
  line.parse(aArguments);

  auto listenAt = ParseAddress(listen.getValue());
  auto platformAt = ParseAddress(platform.getValue());
  if (!listenAt || !platformAt) {
    std::cerr << "standin: " << (listenAt ? platformAt : listenAt).error().mDetail << '\n';
    return kExitUsageError;
  }
  BlockStopSignals();
  if (role.getValue() == "platform")
    return RunPlatform(*listenAt);

  WorkerSpec spec;
  spec.mName = name.getValue();
  spec.mZone = zone.getValue();
  spec.mRack = rack.getValue();
  spec.mHost = listenAt->mHost;
  spec.mPort = listenAt->mPort;
  spec.mAcceleratorType = type.getValue();
  spec.mCapacity = { cores.getValue() * 1000LL,
                     memory.getValue() * 1024LL,
                     accelerators.getValue(),
                     slots.getValue(),
                     60 };
  return RunWorker(*platformAt, std::move(spec));
}

}  // namespace monsoon
