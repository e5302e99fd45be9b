#include "jaylane/testing/HistoryChecker.h"
#include "jaylane/testing/Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

ABSL_FLAG(std::vector<std::string>, callers, {}, "record files of callers");
ABSL_FLAG(std::vector<std::string>, upstreams, {}, "record files of upstreams");
ABSL_FLAG(std::string, rules, "", "JSON file with the rules; the defaults apply if empty");

namespace {

using namespace jaylane;

base::Result<testing::HistoryRules> ReadRules(const std::string& aPath)
{
  if (aPath.empty()) {
    return testing::HistoryRules{};
  }
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return testing::HistoryRules::Parse(text.str());
}

int Fail(const base::Error& aError)
{
  fmt::print(stderr, "{}\n", aError.Message());
  return 2;
}

} // namespace

/// @return exit code: 0 without violations, 1 with violations, 2 if a file cannot be read.
int main(int aArgc, char** aArgv)
{
  absl::ParseCommandLine(aArgc, aArgv);
  const auto rules = ReadRules(absl::GetFlag(FLAGS_rules));
  if (!rules) {
    return Fail(rules.GetError());
  }
  testing::HistoryChecker checker(*rules);
  for (const std::string& path : absl::GetFlag(FLAGS_callers)) {
    if (const auto status = checker.AddCallerFile(path); !status) {
      return Fail(status.GetError());
    }
  }
  for (const std::string& path : absl::GetFlag(FLAGS_upstreams)) {
    if (const auto status = checker.AddUpstreamFile(path); !status) {
      return Fail(status.GetError());
    }
  }
  const Json::Value report = checker.Report();
  testing::PrintLine(report);
  return report["violations"].empty() ? 0 : 1;
}
