// Stand-ins for a gateway under test: the platform's store, upstream servers and clients, as plain
// sockets on loopback addresses, and a runner for the gateway process. No library beyond the C++
// standard library and POSIX.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();

inline double Now()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void SleepMs(int aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

/// record.txt: what was sent, answered and run, with the seconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(aPath)
  {
  }
  void Write(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char line[2048];
    va_list arguments;
    va_start(arguments, aFormat);
    vsnprintf(line, sizeof line, aFormat, arguments);
    va_end(arguments);
    std::lock_guard lock(m_mutex);
    char time[32];
    snprintf(time, sizeof time, "%8.3f ", Now());
    m_file << time << line << std::endl;
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

/// A blocking connection with a read buffer.
class Connection
{
public:
  explicit Connection(int aSocket)
    : m_socket(aSocket)
  {
    int one = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;

  /// @return null if the connection cannot be established.
  static std::unique_ptr<Connection> Open(const std::string& aIp, int aPort)
  {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(aPort));
    inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      ::close(socket);
      return nullptr;
    }
    return std::make_unique<Connection>(socket);
  }

  void Close()
  {
    if (m_socket >= 0) {
      ::close(m_socket);
      m_socket = -1;
    }
  }

  /// Closes so that the peer gets a reset.
  void Reset()
  {
    linger now{ 1, 0 };
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }

  bool Send(const std::string& aText)
  {
    std::size_t sent = 0;
    while (sent < aText.size()) {
      const ssize_t n = ::send(m_socket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads more bytes.
  /// @return whether any arrived; m_ended says how the connection ended if not.
  bool ReadSome(int aTimeoutMs)
  {
    pollfd waited{ m_socket, POLLIN, 0 };
    if (::poll(&waited, 1, aTimeoutMs) <= 0) {
      m_ended = "timeout";
      return false;
    }
    char buffer[16 * 1024];
    const ssize_t n = ::recv(m_socket, buffer, sizeof buffer, 0);
    if (n <= 0) {
      m_ended = n == 0 ? "closed" : strerror(errno);
      return false;
    }
    m_buffer.append(buffer, static_cast<std::size_t>(n));
    return true;
  }

  int m_socket;
  std::string m_buffer;
  std::string m_ended;
};

struct Message
{
  std::string m_startLine;
  std::map<std::string, std::string> m_headers; // names in lower case
  std::string m_body;
  bool m_complete = false;
  std::string Header(const std::string& aName) const
  {
    const auto found = m_headers.find(aName);
    return found == m_headers.end() ? std::string{} : found->second;
  }
  std::size_t Length() const { return strtoul(Header("content-length").c_str(), nullptr, 10); }
  int Status() const { return m_startLine.size() > 12 ? atoi(m_startLine.c_str() + 9) : 0; }
  std::string Method() const { return m_startLine.substr(0, m_startLine.find(' ')); }
  std::string Target() const
  {
    const auto from = m_startLine.find(' ') + 1;
    return m_startLine.substr(from, m_startLine.find(' ', from) - from);
  }
};

/// Reads the head of a message and leaves the rest in the buffer.
inline bool ReadHead(Connection& aConnection, Message& aMessage, int aTimeoutMs)
{
  std::size_t end;
  while ((end = aConnection.m_buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!aConnection.ReadSome(aTimeoutMs)) {
      return false;
    }
  }
  const std::string head = aConnection.m_buffer.substr(0, end + 2);
  aConnection.m_buffer.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  aMessage.m_startLine = head.substr(0, at);
  at += 2;
  while (at < head.size()) {
    const std::size_t lineEnd = head.find("\r\n", at);
    const std::string line = head.substr(at, lineEnd - at);
    const std::size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    for (char& c : name) {
      c = static_cast<char>(tolower(c));
    }
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    aMessage.m_headers[name] = line.substr(value);
    at = lineEnd + 2;
  }
  return true;
}

/// Reads a message whose length is stated.
inline bool ReadMessage(Connection& aConnection, Message& aMessage, int aTimeoutMs)
{
  if (!ReadHead(aConnection, aMessage, aTimeoutMs)) {
    return false;
  }
  const std::size_t length = aMessage.Length();
  while (aConnection.m_buffer.size() < length) {
    if (!aConnection.ReadSome(aTimeoutMs)) {
      aMessage.m_body = aConnection.m_buffer;
      return false;
    }
  }
  aMessage.m_body = aConnection.m_buffer.substr(0, length);
  aConnection.m_buffer.erase(0, length);
  aMessage.m_complete = true;
  return true;
}

/// Accepts connections and serves each on a thread of its own.
class Listener
{
public:
  using Handler = std::function<void(Connection&)>;

  /// @param aMaxSegment bytes of a TCP segment as on an Ethernet link; 0: as large as loopback
  /// allows.
  /// @param aReceiveBuffer bytes of the receive buffer; 0: the system's default.
  Listener(const std::string& aIp, Handler aHandler, int aMaxSegment = 0, int aReceiveBuffer = 0)
    : m_handler(std::move(aHandler))
    , m_ip(aIp)
  {
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (aMaxSegment > 0) {
      setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &aMaxSegment, sizeof aMaxSegment);
    }
    if (aReceiveBuffer > 0) {
      setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
    if (::bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(m_socket, 256) != 0) {
      fprintf(stderr, "cannot listen on %s\n", aIp.c_str());
      exit(2);
    }
    socklen_t size = sizeof address;
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    std::thread([this] { Run(); }).detach();
  }

  std::string Address() const { return m_ip + ":" + std::to_string(m_port); }

private:
  void Run()
  {
    while (true) {
      const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        continue;
      }
      std::thread([this, socket] {
        Connection connection(socket);
        m_handler(connection);
      }).detach();
    }
  }

  Handler m_handler;
  std::string m_ip;
  int m_socket = -1;
  int m_port = 0;
};

/// The platform's store: lists, watches and creates objects.
class Store
{
public:
  explicit Store(const std::string& aIp)
    : m_listener(aIp, [this](Connection& aConnection) { Serve(aConnection); })
  {
  }

  std::string Address() const { return m_listener.Address(); }

  /// @param aSpec JSON text.
  void Put(const std::string& aKind, const std::string& aName, const std::string& aSpec)
  {
    std::lock_guard lock(m_mutex);
    PutLocked(aKind, aName, aSpec);
  }

  void Remove(const std::string& aKind, const std::string& aName)
  {
    std::lock_guard lock(m_mutex);
    auto& objects = m_objects[aKind];
    const auto object = objects.find(aName);
    if (object == objects.end()) {
      return;
    }
    m_events.push_back(
      { ++m_revision, aKind, "{\"deleted\":true,\"object\":" + object->second + "}" });
    objects.erase(object);
    m_changed.notify_all();
  }

private:
  struct Event
  {
    unsigned long m_revision;
    std::string m_kind;
    std::string m_text;
  };

  void PutLocked(const std::string& aKind, const std::string& aName, const std::string& aSpec)
  {
    ++m_revision;
    const std::string object =
      "{\"metadata\":{\"name\":\"" + aName + "\",\"rev\":" + std::to_string(m_revision) +
      ",\"createRev\":" + std::to_string(m_revision) +
      ",\"finalizers\":[],\"deleting\":false},\"spec\":" + aSpec + ",\"status\":null}";
    m_objects[aKind][aName] = object;
    m_events.push_back({ m_revision, aKind, "{\"deleted\":false,\"object\":" + object + "}" });
    m_changed.notify_all();
  }

  static std::string Join(const std::vector<std::string>& aTexts)
  {
    std::string joined;
    for (const std::string& text : aTexts) {
      joined += (joined.empty() ? "" : ",") + text;
    }
    return joined;
  }

  static unsigned long Query(const std::string& aTarget, const std::string& aName)
  {
    const auto at = aTarget.find(aName + "=");
    return at == std::string::npos ? 0
                                   : strtoul(aTarget.c_str() + at + aName.size() + 1, nullptr, 10);
  }

  std::pair<int, std::string> Answer(const Message& aRequest)
  {
    const std::string target = aRequest.Target();
    const std::string prefix = "/-/objects/";
    if (!target.starts_with(prefix)) {
      return { 404, "{}" };
    }
    const std::string kind =
      target.substr(prefix.size(), target.find_first_of("?/", prefix.size()) - prefix.size());
    std::unique_lock lock(m_mutex);
    if (aRequest.Method() == "POST") {
      const auto name = aRequest.m_body.find("\"metadata\":{\"name\":\"");
      const auto spec = aRequest.m_body.find("\"spec\":");
      if (name == std::string::npos || spec == std::string::npos) {
        return { 400, "{}" };
      }
      const auto from = name + 20;
      const std::string id = aRequest.m_body.substr(from, aRequest.m_body.find('"', from) - from);
      if (m_objects[kind].contains(id)) {
        return { 409, m_objects[kind][id] };
      }
      PutLocked(kind, id, aRequest.m_body.substr(spec + 7, aRequest.m_body.size() - spec - 8));
      return { 200, m_objects[kind][id] };
    }
    if (target.find("watch=") == std::string::npos) {
      std::vector<std::string> items;
      for (const auto& [name, object] : m_objects[kind]) {
        items.push_back(object);
      }
      return { 200,
               "{\"items\":[" + Join(items) +
                 "],\"hasMore\":false,\"asOf\":" + std::to_string(m_revision) + "}" };
    }
    const unsigned long since = Query(target, "watch");
    const auto end = Clock::now() + std::chrono::milliseconds(Query(target, "waitMs"));
    while (true) {
      std::vector<std::string> events;
      for (const Event& event : m_events) {
        if (event.m_revision > since && event.m_kind == kind) {
          events.push_back(event.m_text);
        }
      }
      if (!events.empty() || Clock::now() >= end) {
        return {
          200, "{\"events\":[" + Join(events) + "],\"asOf\":" + std::to_string(m_revision) + "}"
        };
      }
      m_changed.wait_until(lock, end);
    }
  }

  void Serve(Connection& aConnection)
  {
    while (true) {
      Message request;
      if (!ReadMessage(aConnection, request, 60'000)) {
        return;
      }
      const auto [status, body] = Answer(request);
      SleepMs(4);
      if (!aConnection.Send("HTTP/1.1 " + std::to_string(status) +
                            " X\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  unsigned long m_revision = 10;
  std::map<std::string, std::map<std::string, std::string>> m_objects;
  std::vector<Event> m_events;
  Listener m_listener;
};

inline int TryFreePort(const std::string& aIp)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    exit(2);
  }
  socklen_t size = sizeof address;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(socket);
  return ntohs(address.sin_port);
}

/// @return a loopback address of this process alone, so that nothing else takes its ports.
inline std::string OwnIp()
{
  const int pid = getpid();
  return "127." + std::to_string(20 + pid % 200) + "." + std::to_string(pid / 200 % 250) + "." +
         std::to_string(1 + pid / 50'000 % 250);
}

inline int FreePort(const std::string& aIp)
{
  static std::set<int> used;
  int port = 0;
  do {
    port = TryFreePort(aIp);
  } while (!used.insert(port).second);
  return port;
}

/// One process of the system, started with the command of the deploy file.
class Gateway
{
public:
  /// @param aExtra further lines of the settings file; may replace the defaults below.
  Gateway(const std::string& aName,
          const std::string& aDirectory,
          const std::string& aStoreAddress,
          const std::string& aIp = OwnIp(),
          int aGraceS = 6,
          int aPeerPort = 0)
    : m_ip(aIp)
    , m_callerPort(FreePort(aIp))
    , m_readyPort(FreePort(aIp))
    , m_settings(aDirectory + "/" + aName + ".yaml")
    , m_log(aDirectory + "/" + aName + ".log")
  {
    std::ofstream(m_settings)
      << "name: \"" << aName << "\"\nzone: \"slt-norte\"\nregion: \"salto\"\n"
      << "zones: {\"slt-norte\":\"salto\"}\n"
      << "caller_address: \"" << aIp << ":" << m_callerPort << "\"\n"
      << "ready_address: \"" << aIp << ":" << m_readyPort << "\"\n"
      << "lookup_address: \"" << aIp << ":" << FreePort(aIp) << "\"\n"
      << "metrics_address: \"" << aIp << ":" << FreePort(aIp) << "\"\n"
      << "peer_address: \"" << aIp << ":" << (aPeerPort ? aPeerPort : FreePort(aIp))
      << "\"\nseeds: []\n"
      << "store_address: \"" << aStoreAddress << "\"\n"
      << "cores: 1\ncore_share: 0.2\nmax_descriptors: 4100\nmemory_mb: 260\n"
      << "stop_grace_seconds: " << aGraceS << "\nlookup_lifetime_seconds: 1\ndrain_ms: 2500\n"
      << "retry_share: 0.2\nretry_slack: 62\nretry_window_seconds: 10\n"
      << "cold_factor: 1.5\ncold_slack: 5\n";
    Start();
  }

  ~Gateway() { Kill(); }

  void Start()
  {
    const pid_t parent = getpid();
    m_pid = ::fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(127);
      }
      const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("JAYLANE_NODE_FILE", m_settings.c_str(), 1);
      execl("target/platform/jaylane-gateway", "target/platform/jaylane-gateway", nullptr);
      _exit(127);
    }
  }

  void Signal(int aSignal) const { ::kill(m_pid, aSignal); }

  /// Kills the process and waits for its end.
  void Kill()
  {
    if (m_pid > 0) {
      ::kill(m_pid, SIGKILL);
      ::waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }

  /// @return whether the ready address answers 200 within the time.
  bool AwaitReady(int aSeconds) const
  {
    for (int i = 0; i < aSeconds * 20; ++i) {
      if (auto connection = Connection::Open(m_ip, m_readyPort)) {
        Message answer;
        connection->Send("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        if (ReadMessage(*connection, answer, 1000) && answer.Status() == 200) {
          return true;
        }
      }
      SleepMs(50);
    }
    return false;
  }

  /// @return the status of waitpid(), or -1 if the process runs.
  int Ended()
  {
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_pid = -1;
      return status;
    }
    return -1;
  }

  std::unique_ptr<Connection> Open() const { return Connection::Open(m_ip, m_callerPort); }

  std::string m_ip;
  int m_callerPort;
  int m_readyPort;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid = -1;
};

inline std::string ServerEntry(const std::string& aService,
                               const std::string& aAddress,
                               int aSlots = 4)
{
  return "{\"service\":\"" + aService + "\",\"address\":\"" + aAddress +
         "\",\"zone\":\"slt-norte\",\"version\":\"v1\",\"slots\":" + std::to_string(aSlots) +
         ",\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,\"born\":1780000000000}";
}

/// @param aRules JSON texts of the rules of the only host, "h.example".
inline std::string Configuration(int aVersion,
                                 const std::string& aRules,
                                 const std::string& aServices)
{
  return "{\"version\":" + std::to_string(aVersion) +
         ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
         "\"idleTimeoutMs\":15000},\"listeners\":[{\"host\":\"h.example\",\"rules\":[" +
         aRules + "]}],\"clusters\":[" + aServices + "]}";
}

inline std::string Rule(const std::string& aName,
                        const std::string& aKind,
                        const std::string& aPrefix,
                        const std::string& aService,
                        int aTimeoutMs,
                        int aAttempts = 2)
{
  return "{\"name\":\"" + aName + "\",\"kind\":\"" + aKind +
         "\",\"targetLatencyMs\":1000,\"priority\":1,\"sticky\":true,\"match\":{\"pathPrefix\":\"" +
         aPrefix + "\"},\"action\":{\"service\":\"" + aService +
         "\",\"timeoutMs\":" + std::to_string(aTimeoutMs) +
         ",\"attempts\":" + std::to_string(aAttempts) + ",\"allowedRegions\":[]}}";
}

inline std::string Cluster(const std::string& aName)
{
  return "{\"name\":\"" + aName +
         "\",\"healthPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false,"
         "\"warmupS\":3.0,\"coldPerS\":10.0}";
}

inline const std::string& TemporaryDirectory()
{
  static const std::string directory = [] {
    char path[] = "/tmp/jaylane-review-XXXXXX";
    return std::string(mkdtemp(path));
  }();
  return directory;
}

/// Ends this process without running destructors, since the stand-ins' threads still use their
/// objects. The gateways end by their parent-death signal at the latest.
[[noreturn]] inline void Finish(int aStatus)
{
  fflush(nullptr);
  std::error_code ignored;
  std::filesystem::remove_all(TemporaryDirectory(), ignored);
  _exit(aStatus);
}

inline bool HasTrouble()
{
  const char* value = getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

} // namespace review
