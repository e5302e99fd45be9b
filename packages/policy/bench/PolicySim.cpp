// Runs the simulations of this package. Prints their results as tables, then as JSON.

#include "Simulation.h"

#include <fmt/format.h>
#include <json/json.h>

namespace {

using jaylane::policy::sim::Table;

void Print(const Table& aTable)
{
  fmt::print("\n{}\n{:<44}", aTable.m_title, "");
  for (const std::string& column : aTable.m_columns) {
    fmt::print("{:>14}", column);
  }
  for (const Table::Row& row : aTable.m_rows) {
    fmt::print("\n{:<44}", row.m_label);
    for (const double value : row.m_values) {
      fmt::print("{:>14.3f}", value);
    }
  }
  fmt::print("\n");
}

Json::Value ToJson(const Table& aTable)
{
  Json::Value json(Json::objectValue);
  json["title"] = aTable.m_title;
  for (const Table::Row& row : aTable.m_rows) {
    Json::Value& values = json["rows"][row.m_label];
    for (std::size_t i = 0; i < row.m_values.size(); ++i) {
      values[aTable.m_columns[i]] = row.m_values[i];
    }
  }
  return json;
}

} // namespace

int main()
{
  using namespace jaylane::policy::sim;
  Json::Value json(Json::arrayValue);
  for (const auto& simulate : { SimulateLending,
                                SimulateLendingOptions,
                                SimulateAdmission,
                                SimulateRetries,
                                SimulateLimits }) {
    const Table table = simulate();
    Print(table);
    json.append(ToJson(table));
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  writer["precision"] = 6;
  fmt::print("\n{}\n", Json::writeString(writer, json));
  return 0;
}
