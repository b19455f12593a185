#include "command/table.h"

#include <boost/json.hpp>

#include <algorithm>
#include <sstream>

#include "core/json.h"

namespace monsoon {

namespace json = boost::json;

namespace {

Result<std::size_t> FindColumn(const Table& aTable, const std::string& aName)
{
  const auto it = std::find(aTable.mColumns.begin(), aTable.mColumns.end(), aName);
  if (it != aTable.mColumns.end())
    return static_cast<std::size_t>(it - aTable.mColumns.begin());
  std::string known;
  for (const std::string& column : aTable.mColumns)
    known += (known.empty() ? "" : ", ") + column;
  return MakeFailure(FailureKind::BadInput, "no column " + aName + "; there are " + known);
}

bool Compare(const TableCell& aLeft, Comparison aComparison, const TableCell& aRight)
{
  switch (aComparison) {
    case Comparison::Equal:
      return aLeft == aRight;
    case Comparison::NotEqual:
      return aLeft != aRight;
    case Comparison::Less:
      return aLeft < aRight;
    case Comparison::LessOrEqual:
      return aLeft <= aRight;
    case Comparison::Greater:
      return aLeft > aRight;
    case Comparison::GreaterOrEqual:
      return aLeft >= aRight;
  }
  return false;
}

Result<void> Filter(Table& aTable, const Condition& aCondition)
{
  const auto column = FindColumn(aTable, aCondition.mColumn);
  if (!column)
    return column.error();
  for (const auto& row : aTable.mRows)
    if (row[*column].index() != aCondition.mValue.index())
      return MakeFailure(FailureKind::BadInput,
                         aCondition.mColumn + " is compared with a value of another type");
  std::erase_if(aTable.mRows, [&](const auto& aRow) {
    return !Compare(aRow[*column], aCondition.mComparison, aCondition.mValue);
  });
  return {};
}

std::string FormatCell(const TableCell& aCell)
{
  if (const auto* n = std::get_if<std::int64_t>(&aCell))
    return std::to_string(*n);
  return std::get<std::string>(aCell);
}

}  // namespace

Result<Table> SelectRows(Table aTable, const Show& aShow)
{
  for (const Condition& it : aShow.mWhere)
    if (auto filtered = Filter(aTable, it); !filtered)
      return filtered.error();
  if (aShow.mOrder) {
    const auto column = FindColumn(aTable, aShow.mOrder->mColumn);
    if (!column)
      return column.error();
    const bool descending = aShow.mOrder->mDescending;
    std::stable_sort(
      aTable.mRows.begin(), aTable.mRows.end(), [&](const auto& aLeft, const auto& aRight) {
        return descending ? aRight[*column] < aLeft[*column] : aLeft[*column] < aRight[*column];
      });
  }
  if (aShow.mLimit && aTable.mRows.size() > *aShow.mLimit)
    aTable.mRows.resize(*aShow.mLimit);
  return aTable;
}

std::string FormatText(const Table& aTable)
{
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < aTable.mColumns.size(); ++i) {
    std::size_t width = aTable.mColumns[i].size();
    for (const auto& row : aTable.mRows)
      width = std::max(width, FormatCell(row[i]).size());
    widths.push_back(width);
  }
  std::string out;
  const auto append = [&](std::size_t aColumn, const std::string& aText, bool aRight) {
    const std::string padding(widths[aColumn] - aText.size(), ' ');
    const bool last = aColumn + 1 == widths.size();
    out += aRight ? padding + aText : aText + (last ? "" : padding);
    out += last ? "\n" : "  ";
  };
  for (std::size_t i = 0; i < widths.size(); ++i)
    append(i, aTable.mColumns[i], false);
  for (const auto& row : aTable.mRows)
    for (std::size_t i = 0; i < widths.size(); ++i)
      append(i, FormatCell(row[i]), row[i].index() == 0);
  return out;
}

std::string FormatJson(const Table& aTable)
{
  json::array columns;
  for (const std::string& it : aTable.mColumns)
    columns.emplace_back(it);
  json::array rows;
  for (const auto& row : aTable.mRows) {
    json::object object;
    for (std::size_t i = 0; i < row.size(); ++i)
      std::visit([&](const auto& aCell) { object[aTable.mColumns[i]] = aCell; }, row[i]);
    rows.emplace_back(std::move(object));
  }
  json::object object;
  object["columns"] = std::move(columns);
  object["rows"] = std::move(rows);
  return json::serialize(object);
}

Result<Table> ParseTable(std::string_view aJson)
{
  const auto value = ParseJson(aJson);
  if (!value)
    return value.error();
  Table table;
  for (const json::value& it : GetArray(*value, "columns"))
    if (const json::string* name = it.if_string())
      table.mColumns.emplace_back(name->data(), name->size());
  for (const json::value& it : GetArray(*value, "rows")) {
    std::vector<TableCell> row;
    for (const std::string& column : table.mColumns) {
      if (GetMember(it, column).is_int64())
        row.emplace_back(GetSigned(it, column));
      else
        row.emplace_back(GetString(it, column));
    }
    table.mRows.push_back(std::move(row));
  }
  return table;
}

}  // namespace monsoon
