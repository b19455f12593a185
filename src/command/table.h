// Tables: what `show` and `explain` answer, for people and for programs.
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
  std::vector<std::vector<TableCell>> mRows{};  // each as long as mColumns
};

// Keeps the rows that fulfil every condition, then orders and cuts them. BadInput names the columns
// that exist when one of aShow's doesn't, or when a number is compared with text.
[[nodiscard]] Result<Table> SelectRows(Table aTable, const Show& aShow);

[[nodiscard]] std::string FormatText(const Table& aTable);  // aligned, numbers to the right
[[nodiscard]] std::string FormatJson(
  const Table& aTable);  // {"columns": […], "rows": [{column: value}]}
[[nodiscard]] Result<Table> ParseTable(std::string_view aJson);  // what FormatJson wrote

}  // namespace monsoon
