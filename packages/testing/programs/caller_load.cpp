#include "jaylane/testing/CallerLoad.h"
#include "jaylane/testing/Program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

ABSL_FLAG(std::vector<std::string>, entries, {}, "caller addresses of entry VMs, host:port");
ABSL_FLAG(std::string, service, "tables-svc", "service to call");
ABSL_FLAG(std::string, caller_ip, "", "caller address sent with each request");
ABSL_FLAG(std::string, origin, "", "origin region written to the records");
ABSL_FLAG(double, rate, 10, "mean requests per second");
ABSL_FLAG(std::uint32_t, duration_ms, 1000, "duration of the load in milliseconds");
ABSL_FLAG(std::uint64_t, max_requests, 100000, "maximum number of requests");
ABSL_FLAG(std::uint32_t,
          max_in_flight,
          200,
          "maximum number of requests in flight; more are dropped");
ABSL_FLAG(std::uint32_t, reads, 1, "weight of idempotent reads");
ABSL_FLAG(std::uint32_t, orders, 0, "weight of non-idempotent orders");
ABSL_FLAG(std::uint32_t, uploads, 0, "weight of uploads");
ABSL_FLAG(std::uint64_t, upload_bytes, 1048576, "size of an upload in bytes");
ABSL_FLAG(std::uint64_t, response_bytes, 1000, "payload size of a response in bytes");
ABSL_FLAG(std::uint32_t, deadline_ms, 2000, "deadline of a request in milliseconds");
ABSL_FLAG(std::uint32_t, retries, 2, "most retries of a request whose outcome is not-run");
ABSL_FLAG(std::uint32_t, retry_delay_ms, 50, "delay before a retry in milliseconds");
ABSL_FLAG(double, resend_share, 0, "share of orders sent again with the same key");
ABSL_FLAG(bool,
          claim_keys,
          false,
          "send keys without a scope, which the entry VM claims in the store");
ABSL_FLAG(double, crash_share, 0, "share of requests that crash the upstream which executes them");
ABSL_FLAG(std::uint32_t, seed, 1, "seed of the random arrivals, kinds and faults");
ABSL_FLAG(std::string, name, "caller", "distinguishes the keys of concurrent callers");
ABSL_FLAG(std::string, records, "", "file that attempt records are appended to");

int main(int aArgc, char** aArgv)
{
  using namespace jaylane::testing;
  using std::chrono::milliseconds;
  absl::ParseCommandLine(aArgc, aArgv);
  CallerOptions options;
  options.m_entries = absl::GetFlag(FLAGS_entries);
  options.m_service = absl::GetFlag(FLAGS_service);
  options.m_callerIp = absl::GetFlag(FLAGS_caller_ip);
  options.m_origin = absl::GetFlag(FLAGS_origin);
  options.m_rate = absl::GetFlag(FLAGS_rate);
  options.m_duration = milliseconds{ absl::GetFlag(FLAGS_duration_ms) };
  options.m_maxRequests = absl::GetFlag(FLAGS_max_requests);
  options.m_maxInFlight = absl::GetFlag(FLAGS_max_in_flight);
  options.m_reads = absl::GetFlag(FLAGS_reads);
  options.m_orders = absl::GetFlag(FLAGS_orders);
  options.m_uploads = absl::GetFlag(FLAGS_uploads);
  options.m_uploadBytes = absl::GetFlag(FLAGS_upload_bytes);
  options.m_responseBytes = absl::GetFlag(FLAGS_response_bytes);
  options.m_deadline = milliseconds{ absl::GetFlag(FLAGS_deadline_ms) };
  options.m_retries = absl::GetFlag(FLAGS_retries);
  options.m_retryDelay = milliseconds{ absl::GetFlag(FLAGS_retry_delay_ms) };
  options.m_resendShare = absl::GetFlag(FLAGS_resend_share);
  options.m_claimKeys = absl::GetFlag(FLAGS_claim_keys);
  options.m_crashShare = absl::GetFlag(FLAGS_crash_share);
  options.m_seed = absl::GetFlag(FLAGS_seed);
  options.m_name = absl::GetFlag(FLAGS_name);
  options.m_recordFile = absl::GetFlag(FLAGS_records);
  const auto load = CallerLoad::Make(options);
  if (!load) {
    fmt::print(stderr, "{}\n", load.GetError().Message());
    return 1;
  }
  PrintLine((*load)->Run());
  return 0;
}
