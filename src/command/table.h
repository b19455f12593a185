// Tables: the results of commands, formatted as text for people or as JSON for programs.
#pragma once

#include <boost/json/fwd.hpp>

#include <string>
#include <variant>
#include <vector>

#include "command/command.h"

namespace monsoon {

using TableCell = std::variant<std::int64_t, std::string>;

struct Table
{
  std::vector<std::string> mColumns{};
  std::vector<std::vector<TableCell>> mRows{};  // each row has one cell per column
};

// Keeps the rows that meet all conditions of aShow, then applies its order and limit. Fails with
// BadInput when a column doesn't exist (the detail lists the existing ones) or when a number is
// compared with text.
[[nodiscard]] Result<Table> SelectRows(Table aTable, const Show& aShow);

[[nodiscard]] std::string FormatText(const Table& aTable);  // aligned; numbers to the right
[[nodiscard]] std::string FormatJson(
  const Table& aTable);  // {"columns": […], "rows": [{column: value}]}
[[nodiscard]] Result<Table> ParseTable(std::string_view aJson);  // reads the output of FormatJson

}  // namespace monsoon
