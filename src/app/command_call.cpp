#include "app/command_call.h"

#include "app/blocking_call.h"
#include "core/json.h"

namespace monsoon {

namespace {

FailureKind FindFailureKind(std::string_view aName)
{
  for (int i = 0; i <= static_cast<int>(FailureKind::RateLimited); ++i)
    if (GetName(static_cast<FailureKind>(i)) == aName)
      return static_cast<FailureKind>(i);
  return FailureKind::Internal;
}

}  // namespace

Result<Table> CallCommand(const HttpAddress& aAddress, const std::string& aCommand)
{
  constexpr Duration kTimeout = seconds(30);
  if (auto command = ParseCommand(aCommand); !command)
    return command.error();
  HttpRequest request(http::verb::post, "/v1/commands", 11);
  request.set(http::field::content_type, "text/plain");
  request.body() = aCommand;
  auto answer = CallBlocking(aAddress, std::move(request), kTimeout);
  if (!answer)
    return answer.error();
  if (answer->result() == http::status::ok)
    return ParseTable(answer->body());
  const auto problem = ParseJson(answer->body());
  if (!problem)
    return MakeFailure(FailureKind::Internal, "status " + std::to_string(answer->result_int()));
  return MakeFailure(FindFailureKind(GetString(*problem, "reason")), GetString(*problem, "detail"));
}

}  // namespace monsoon
