#include "HttpLoad.h"

#include "jaylane/base/SocketAddress.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cctype>
#include <cstdlib>
#include <fmt/format.h>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace jaylane::testing {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kBufferBytes = 64 * 1024;
constexpr timeval kSocketTimeout{ 30, 0 };

/// A blocking TCP connection to a port on the loopback address.
class Connection
{
public:
  explicit Connection(const std::string& aAddress)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
  {
    const auto parsed = base::SocketAddress::Parse(aAddress);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(parsed ? parsed->m_port : 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &kSocketTimeout, sizeof kSocketTimeout);
    setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &kSocketTimeout, sizeof kSocketTimeout);
    m_open = connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  }
  ~Connection() { close(m_socket); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Open() const { return m_open; }

  bool Send(std::string_view aData) const
  {
    while (!aData.empty()) {
      const ssize_t sent = send(m_socket, aData.data(), aData.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aData.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// Reads a whole response, whose length must be given by Content-Length.
  /// @return its status, or 0 if the connection failed.
  unsigned Receive()
  {
    std::size_t filled = 0;
    std::size_t expected = 0;
    while (expected == 0 || filled < expected) {
      const ssize_t received =
        recv(m_socket, m_buffer.data() + filled, m_buffer.size() - filled, 0);
      if (received <= 0) {
        return 0;
      }
      filled += static_cast<std::size_t>(received);
      expected = expected ? expected : ResponseBytes({ m_buffer.data(), filled });
    }
    return static_cast<unsigned>(std::atoi(m_buffer.data() + std::string_view("HTTP/1.1 ").size()));
  }

private:
  /// @return bytes of the whole response, or 0 while its headers are incomplete.
  static std::size_t ResponseBytes(std::string_view aData)
  {
    const auto end = aData.find("\r\n\r\n");
    if (end == std::string_view::npos) {
      return 0;
    }
    constexpr std::string_view kContentLength = "\r\ncontent-length: ";
    const auto equalsIgnoringCase = [](char aLeft, char aRight) {
      return std::tolower(aLeft) == aRight;
    };
    const auto found = std::search(aData.begin(),
                                   aData.begin() + static_cast<std::ptrdiff_t>(end),
                                   kContentLength.begin(),
                                   kContentLength.end(),
                                   equalsIgnoringCase);
    const auto position = static_cast<std::size_t>(found - aData.begin());
    const std::size_t body =
      position == end ? 0
                      : std::strtoull(aData.data() + position + kContentLength.size(), nullptr, 10);
    return end + 4 + body;
  }

  int m_socket;
  bool m_open = false;
  std::array<char, kBufferBytes> m_buffer{};
};

struct Totals
{
  std::mutex m_mutex;
  /// Kept one by one: the differences to measure are below the resolution of a histogram.
  std::vector<std::chrono::nanoseconds> m_latencies;
  std::atomic<std::uint64_t> m_started{ 0 };
  std::atomic<std::uint64_t> m_failed{ 0 };
};

void RunConnection(const HttpLoadOptions& aOptions, Clock::time_point aEnd, Totals& aTotals)
{
  const std::string request = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n{}\r\n",
                                          aOptions.m_target,
                                          aOptions.m_address,
                                          aOptions.m_headers);
  std::vector<std::chrono::nanoseconds> latencies;
  Connection connection(aOptions.m_address);
  while (connection.Open() && Clock::now() < aEnd &&
         ++aTotals.m_started <= aOptions.m_maxRequests) {
    const auto start = Clock::now();
    const unsigned status = connection.Send(request) ? connection.Receive() : 0;
    if (status == 200) {
      latencies.push_back(Clock::now() - start);
    } else {
      ++aTotals.m_failed;
    }
    if (status == 0) {
      break;
    }
  }
  std::lock_guard lock(aTotals.m_mutex);
  aTotals.m_latencies.insert(aTotals.m_latencies.end(), latencies.begin(), latencies.end());
}

std::chrono::nanoseconds Quantile(const std::vector<std::chrono::nanoseconds>& aSorted,
                                  double aQuantile)
{
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted.empty() ? std::chrono::nanoseconds{ 0 }
                         : aSorted[static_cast<std::size_t>(aQuantile * last)];
}

} // namespace

HttpLoadResult RunHttpLoad(const HttpLoadOptions& aOptions)
{
  Totals totals;
  const auto start = Clock::now();
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < aOptions.m_connections; ++i) {
    threads.emplace_back([&] { RunConnection(aOptions, start + aOptions.m_duration, totals); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  HttpLoadResult result;
  result.m_elapsed = Clock::now() - start;
  result.m_succeeded = totals.m_latencies.size();
  result.m_failed = totals.m_failed;
  std::sort(totals.m_latencies.begin(), totals.m_latencies.end());
  result.m_p50 = Quantile(totals.m_latencies, 0.5);
  result.m_p99 = Quantile(totals.m_latencies, 0.99);
  return result;
}

unsigned PutBody(const std::string& aAddress,
                 const std::string& aTarget,
                 const std::string& aHeaders,
                 std::uint64_t aBytes)
{
  Connection connection(aAddress);
  const std::string chunk(kBufferBytes, 'x');
  bool sent =
    connection.Open() &&
    connection.Send(fmt::format("PUT {} HTTP/1.1\r\nHost: {}\r\n{}Content-Length: {}\r\n\r\n",
                                aTarget,
                                aAddress,
                                aHeaders,
                                aBytes));
  for (std::uint64_t remaining = aBytes; sent && remaining > 0;) {
    const auto part = std::min<std::uint64_t>(remaining, chunk.size());
    sent = connection.Send(std::string_view(chunk).substr(0, part));
    remaining -= part;
  }
  return sent ? connection.Receive() : 0;
}

} // namespace jaylane::testing
