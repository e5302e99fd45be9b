#include "jaylane/testing/PlatformStandIn.h"
#include "jaylane/testing/Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

ABSL_FLAG(std::string, bind, "127.0.0.1", "address to listen on");
ABSL_FLAG(std::uint32_t, port, 0, "port to listen on; 0 lets the kernel choose");

int main(int aArgc, char** aArgv)
{
  using namespace jaylane::testing;
  absl::ParseCommandLine(aArgc, aArgv);
  BlockTerminationSignals();
  HttpServerOptions options;
  options.m_bindAddress = absl::GetFlag(FLAGS_bind);
  options.m_port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port));
  const auto standIn = PlatformStandIn::Make(options);
  if (!standIn) {
    fmt::print(stderr, "{}\n", standIn.GetError().Message());
    return 1;
  }
  Json::Value line;
  line["address"] = (*standIn)->Address();
  PrintLine(line);
  WaitForTermination();
  return 0;
}
