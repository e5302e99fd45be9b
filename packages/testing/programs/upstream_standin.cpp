#include "jaylane/testing/Program.h"
#include "jaylane/testing/UpstreamStandIn.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

ABSL_FLAG(std::string, bind, "127.0.0.1", "address to listen on");
ABSL_FLAG(std::uint32_t, port, 0, "port to listen on; 0 lets the kernel choose");
ABSL_FLAG(std::string, id, "upstream", "id in the VM list");
ABSL_FLAG(std::string, service, "", "service name");
ABSL_FLAG(std::string, region, "", "region name");
ABSL_FLAG(std::string, zone, "", "availability zone name");
ABSL_FLAG(std::uint32_t, slots, 4, "maximum number of requests executed at a time");
ABSL_FLAG(std::uint32_t, connections, 400, "maximum number of open connections");
ABSL_FLAG(std::uint32_t, service_ms, 20, "service time of a request in milliseconds");
ABSL_FLAG(std::uint32_t, cold_ms, 0, "duration of the cold start in milliseconds");
ABSL_FLAG(std::uint32_t,
          cold_factor,
          4,
          "factor by which the service time is longer during the cold start");
ABSL_FLAG(bool, shed, true, "reject requests beyond the slots");
ABSL_FLAG(std::string, records, "", "file that execution records are appended to");

int main(int aArgc, char** aArgv)
{
  using namespace jaylane::testing;
  absl::ParseCommandLine(aArgc, aArgv);
  BlockTerminationSignals();
  UpstreamOptions options;
  options.m_http.m_bindAddress = absl::GetFlag(FLAGS_bind);
  options.m_http.m_port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port));
  options.m_http.m_connectionLimit = absl::GetFlag(FLAGS_connections);
  options.m_id = absl::GetFlag(FLAGS_id);
  options.m_service = absl::GetFlag(FLAGS_service);
  options.m_region = absl::GetFlag(FLAGS_region);
  options.m_zone = absl::GetFlag(FLAGS_zone);
  options.m_slots = absl::GetFlag(FLAGS_slots);
  options.m_serviceTime = std::chrono::milliseconds{ absl::GetFlag(FLAGS_service_ms) };
  options.m_coldTime = std::chrono::milliseconds{ absl::GetFlag(FLAGS_cold_ms) };
  options.m_coldFactor = absl::GetFlag(FLAGS_cold_factor);
  options.m_shed = absl::GetFlag(FLAGS_shed);
  options.m_recordFile = absl::GetFlag(FLAGS_records);
  const auto standIn = UpstreamStandIn::Make(options);
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
