// Stand-ins for the clients, the servers and the platform's store, for the review cases. They speak
// what PROTOCOL.md says, on loopback addresses, and use only POSIX sockets and jsoncpp.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline Clock::time_point& Origin()
{
  static Clock::time_point origin = Clock::now();
  return origin;
}

/// Milliseconds since the start of the case.
inline std::int64_t NowMs()
{
  return std::chrono::duration_cast<milliseconds>(Clock::now() - Origin()).count();
}

inline void SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(milliseconds{ aMs });
}

inline void SleepUntilMs(std::int64_t aMs)
{
  std::this_thread::sleep_until(Origin() + milliseconds{ aMs });
}

/// record.txt: what was sent, answered and run, a line each.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(std::fopen(aPath.c_str(), "w"))
  {
  }
  ~Record()
  {
    if (m_file) {
      std::fclose(m_file);
    }
  }
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    std::lock_guard lock(m_mutex);
    if (!m_file) {
      return;
    }
    std::fprintf(m_file, "%8lld ms  ", static_cast<long long>(NowMs()));
    va_list arguments;
    va_start(arguments, aFormat);
    std::vfprintf(m_file, aFormat, arguments);
    va_end(arguments);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

inline std::string Lower(std::string aText)
{
  for (char& c : aText) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return aText;
}

struct Message
{
  /// First line: method and target, or status.
  std::string m_method;
  std::string m_target;
  int m_status = 0;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  bool m_isComplete = false;

  std::string Header(const std::string& aName) const
  {
    const auto found = m_headers.find(aName);
    return found == m_headers.end() ? std::string{} : found->second;
  }
  std::string Path() const { return m_target.substr(0, m_target.find('?')); }
  std::string Query(const std::string& aName) const
  {
    const auto at = m_target.find('?');
    if (at == std::string::npos) {
      return {};
    }
    std::stringstream parts(m_target.substr(at + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
      if (part.rfind(aName + "=", 0) == 0) {
        return part.substr(aName.size() + 1);
      }
    }
    return {};
  }
};

/// A connected socket with a read buffer.
class Connection
{
public:
  explicit Connection(int aFd)
    : m_fd(aFd)
  {
    const int one = 1;
    ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;

  /// @return a connection to "ip:port"; null if there is none within a second.
  static std::unique_ptr<Connection> Open(const std::string& aAddress)
  {
    const auto colon = aAddress.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
    ::inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      pollfd waited{ fd, POLLOUT, 0 };
      int error = errno;
      socklen_t size = sizeof error;
      if (error == EINPROGRESS && ::poll(&waited, 1, 1000) > 0) {
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      }
      if (error != 0) {
        ::close(fd);
        return nullptr;
      }
    }
    return std::make_unique<Connection>(fd);
  }

  int Fd() const { return m_fd; }
  void Close()
  {
    if (m_fd >= 0) {
      ::close(m_fd);
      m_fd = -1;
    }
  }
  /// Closes with a reset.
  void Reset()
  {
    const linger reset{ 1, 0 };
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    Close();
  }
  bool IsClosedByPeer() const
  {
    pollfd waited{ m_fd, POLLRDHUP, 0 };
    return ::poll(&waited, 1, 0) > 0;
  }

  bool Write(const std::string& aText)
  {
    std::size_t sent = 0;
    const auto end = Clock::now() + std::chrono::seconds{ 20 };
    while (sent < aText.size() && Clock::now() < end) {
      const ssize_t count =
        ::send(m_fd, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
      } else if (errno == EAGAIN) {
        pollfd waited{ m_fd, POLLOUT, 0 };
        ::poll(&waited, 1, 100);
      } else {
        return false;
      }
    }
    return sent == aText.size();
  }

  /// Reads a request or a response.
  /// @return nothing if the connection ends, or the time passes, before the end of the header. A
  ///   message whose body does not end is not complete.
  std::optional<Message> Read(std::int64_t aTimeoutMs, bool aIsHead = false)
  {
    const auto end = Clock::now() + milliseconds{ aTimeoutMs };
    std::size_t headEnd = 0;
    while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(end)) {
        return std::nullopt;
      }
    }
    Message message;
    std::stringstream head(m_buffer.substr(0, headEnd));
    m_buffer.erase(0, headEnd + 4);
    std::string line;
    std::getline(head, line);
    std::stringstream first(line);
    first >> message.m_method >> message.m_target;
    if (message.m_method.rfind("HTTP/", 0) == 0) {
      message.m_status = std::atoi(message.m_target.c_str());
    }
    while (std::getline(head, line)) {
      while (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.m_headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? std::string{} : line.substr(value);
      }
    }
    message.m_isComplete = aIsHead || ReadBody(message, end);
    return message;
  }

private:
  bool ReadBody(Message& aMessage, Clock::time_point aEnd)
  {
    if (Lower(aMessage.Header("transfer-encoding")).find("chunked") != std::string::npos) {
      while (true) {
        std::size_t lineEnd = 0;
        while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
          if (!Fill(aEnd)) {
            return false;
          }
        }
        const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        while (m_buffer.size() < lineEnd + 2 + size + 2) {
          if (!Fill(aEnd)) {
            return false;
          }
        }
        aMessage.m_body += m_buffer.substr(lineEnd + 2, size);
        m_buffer.erase(0, lineEnd + 2 + size + 2);
        if (size == 0) {
          return true;
        }
      }
    }
    const std::string length = aMessage.Header("content-length");
    if (length.empty()) {
      if (aMessage.m_status == 0 || aMessage.m_status < 200 || aMessage.m_status == 204 ||
          aMessage.m_status == 304) {
        return true;
      }
      while (Fill(aEnd)) {
      }
      aMessage.m_body = std::exchange(m_buffer, {});
      return m_wasOrderly;
    }
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (m_buffer.size() < size) {
      if (!Fill(aEnd)) {
        aMessage.m_body = std::exchange(m_buffer, {});
        return false;
      }
    }
    aMessage.m_body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
  }

  bool Fill(Clock::time_point aEnd)
  {
    while (m_fd >= 0) {
      const auto left =
        std::chrono::duration_cast<milliseconds>(aEnd - Clock::now()).count();
      if (left <= 0) {
        return false;
      }
      pollfd waited{ m_fd, POLLIN, 0 };
      if (::poll(&waited, 1, static_cast<int>(std::min<std::int64_t>(left, 200))) <= 0) {
        continue;
      }
      char bytes[16384];
      const ssize_t count = ::recv(m_fd, bytes, sizeof bytes, MSG_DONTWAIT);
      if (count > 0) {
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
      }
      if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        continue;
      }
      m_wasOrderly = count == 0;
      return false;
    }
    return false;
  }

  int m_fd;
  std::string m_buffer;
  bool m_wasOrderly = false;
};

/// Listens on a loopback address and runs a thread for each connection.
class Listener
{
public:
  using Serve = std::function<void(Connection&)>;

  Listener(const std::string& aIp, Serve aServe)
    : m_ip(aIp)
    , m_serve(std::move(aServe))
  {
    Open();
    m_address = aIp + ":" + std::to_string(m_port);
    m_thread = std::thread([this] { Accept(); });
  }
  ~Listener() { Stop(); }

  const std::string& Address() const { return m_address; }

  /// Stops listening and ends all connections.
  void Stop()
  {
    if (m_isStopping.exchange(true)) {
      return;
    }
    m_thread.join();
    Suspend();
    std::unique_lock lock(m_mutex);
    m_ended.wait_for(lock, std::chrono::seconds{ 10 }, [this] { return m_open.empty(); });
  }

  /// Ends all connections, and refuses new ones until Resume().
  void Suspend()
  {
    {
      std::lock_guard lock(m_mutex);
      if (m_fd >= 0) {
        ::close(m_fd);
        m_fd = -1;
      }
    }
    EndConnections();
  }
  /// Listens on the same address again.
  void Resume()
  {
    std::lock_guard lock(m_mutex);
    Open();
  }

  void EndConnections()
  {
    std::lock_guard lock(m_mutex);
    for (const int fd : m_open) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }

private:
  void Open()
  {
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int one = 1;
    ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    ::inet_pton(AF_INET, m_ip.c_str(), &address.sin_addr);
    socklen_t size = sizeof address;
    if (::bind(m_fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(m_fd, 256) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
  }

  void Accept()
  {
    while (!m_isStopping) {
      int fd = -1;
      {
        std::lock_guard lock(m_mutex);
        fd = m_fd < 0 ? -1 : ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
          m_open.insert(fd);
        }
      }
      if (fd < 0) {
        SleepMs(1);
        continue;
      }
      std::thread([this, fd] {
        Connection connection(fd);
        m_serve(connection);
        std::lock_guard lock(m_mutex);
        m_open.erase(fd);
        connection.Close();
        m_ended.notify_all();
      }).detach();
    }
  }

  const std::string m_ip;
  Serve m_serve;
  int m_fd = -1;
  std::uint16_t m_port = 0;
  std::string m_address;
  std::atomic<bool> m_isStopping{ false };
  std::mutex m_mutex;
  std::condition_variable m_ended;
  std::set<int> m_open;
  std::thread m_thread;
};

inline std::string Compact(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

inline std::optional<Json::Value> ParseJson(const std::string& aText)
{
  Json::CharReaderBuilder builder;
  Json::Value value;
  std::string errors;
  std::istringstream stream(aText);
  if (!Json::parseFromStream(builder, stream, &value, &errors)) {
    return std::nullopt;
  }
  return value;
}

/// The platform's store: objects by kind and name, lists in pages, watches, conditional writes, its
/// rates, 4 ms an answer, and a return from a copy.
class Store
{
public:
  Store(const std::string& aIp, Record& aRecord)
    : m_record(aRecord)
    , m_listener(aIp, [this](Connection& aConnection) { Serve(aConnection); })
  {
  }
  ~Store()
  {
    {
      std::lock_guard lock(m_mutex);
      m_isAway = true;
    }
    m_changed.notify_all();
    m_listener.Stop();
  }

  const std::string& Address() const { return m_listener.Address(); }

  /// Writes an object, as the operator or a server does.
  /// @return its revision, 0 if the store is away. Without a change the revision stays.
  std::uint64_t Put(const std::string& aKind, const std::string& aName, const Json::Value& aSpec)
  {
    std::lock_guard lock(m_mutex);
    return m_isAway ? 0 : PutLocked(aKind, aName, aSpec);
  }
  bool Remove(const std::string& aKind, const std::string& aName)
  {
    std::lock_guard lock(m_mutex);
    if (m_isAway) {
      return false;
    }
    const auto object = m_state.m_objects[aKind].find(aName);
    if (object != m_state.m_objects[aKind].end()) {
      AddEvent(aKind, object->second, true, ++m_state.m_revision);
      m_state.m_objects[aKind].erase(object);
      m_changed.notify_all();
    }
    return true;
  }
  bool Has(const std::string& aKind, const std::string& aName)
  {
    std::lock_guard lock(m_mutex);
    return m_state.m_objects[aKind].count(aName) > 0;
  }
  std::size_t Count(const std::string& aKind)
  {
    std::lock_guard lock(m_mutex);
    return m_state.m_objects[aKind].size();
  }
  std::uint64_t Revision()
  {
    std::lock_guard lock(m_mutex);
    return m_state.m_revision;
  }
  std::uint64_t Calls() const { return m_calls; }
  std::uint64_t Rejected() const { return m_rejected; }

  void Copy()
  {
    std::lock_guard lock(m_mutex);
    m_copy = m_state;
  }
  /// Calls get no answer and connections end.
  void GoAway()
  {
    {
      std::lock_guard lock(m_mutex);
      m_isAway = true;
    }
    m_changed.notify_all();
    m_listener.EndConnections();
  }
  /// @param aIsFromCopy the state is that of the last Copy(), and its history is gone.
  void ComeBack(bool aIsFromCopy)
  {
    std::lock_guard lock(m_mutex);
    if (aIsFromCopy) {
      m_state = m_copy;
      ++m_era;
    }
    m_isAway = false;
  }

private:
  struct Event
  {
    std::uint64_t m_revision;
    std::string m_kind;
    Json::Value m_event;
  };
  struct State
  {
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, Json::Value>> m_objects;
    std::vector<Event> m_events;
  };

  static Json::Value WithoutSeq(Json::Value aSpec)
  {
    if (aSpec.isObject()) {
      aSpec.removeMember("seq");
    }
    return aSpec;
  }

  std::uint64_t PutLocked(const std::string& aKind,
                          const std::string& aName,
                          const Json::Value& aSpec)
  {
    auto& objects = m_state.m_objects[aKind];
    const auto existing = objects.find(aName);
    if (existing != objects.end()) {
      const Json::Value& before = existing->second["spec"];
      if (before == aSpec ||
          (aKind == "servers" && WithoutSeq(before) == WithoutSeq(aSpec))) {
        existing->second["spec"] = aSpec;
        return existing->second["metadata"]["rev"].asUInt64();
      }
    }
    Json::Value object;
    object["metadata"]["name"] = aName;
    object["metadata"]["rev"] = Json::UInt64{ ++m_state.m_revision };
    object["metadata"]["createRev"] = existing == objects.end()
                                        ? Json::Value(Json::UInt64{ m_state.m_revision })
                                        : existing->second["metadata"]["createRev"];
    object["metadata"]["finalizers"] = Json::Value(Json::arrayValue);
    object["metadata"]["deleting"] = false;
    object["spec"] = aSpec;
    object["status"] = Json::Value(Json::objectValue);
    objects[aName] = object;
    AddEvent(aKind, object, false, m_state.m_revision);
    m_changed.notify_all();
    return m_state.m_revision;
  }

  void AddEvent(const std::string& aKind,
                const Json::Value& aObject,
                bool aIsDeleted,
                std::uint64_t aRevision)
  {
    Json::Value event;
    event["object"] = aObject;
    event["deleted"] = aIsDeleted;
    m_state.m_events.push_back({ aRevision, aKind, event });
  }

  static std::string Answer(int aStatus, const std::string& aBody, std::uint64_t aEra)
  {
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " Answer\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(aEra) +
           "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  void Serve(Connection& aConnection)
  {
    while (true) {
      const auto request = aConnection.Read(60'000);
      if (!request || !request->m_isComplete) {
        return;
      }
      SleepMs(4);
      std::pair<int, std::string> answer{ 429, "{}" };
      if (TakeRate(request->m_method != "GET")) {
        answer = Handle(*request);
      }
      std::uint64_t era = 0;
      {
        std::lock_guard lock(m_mutex);
        if (m_isAway) {
          return;
        }
        era = m_era;
      }
      if (!aConnection.Write(Answer(answer.first, answer.second, era))) {
        return;
      }
    }
  }

  bool TakeRate(bool aIsWrite)
  {
    std::lock_guard lock(m_mutex);
    ++m_calls;
    const std::int64_t second = NowMs() / 1000;
    if (second != m_second) {
      m_second = second;
      m_writes = m_reads = 0;
    }
    const bool isWithin = aIsWrite ? ++m_writes <= 400 : ++m_reads <= 2000;
    m_rejected += isWithin ? 0 : 1;
    return isWithin;
  }

  std::pair<int, std::string> Handle(const Message& aRequest)
  {
    const std::string prefix = "/-/objects/";
    std::string path = aRequest.Path();
    if (path.rfind(prefix, 0) != 0) {
      return { 404, "{}" };
    }
    path = path.substr(prefix.size());
    const auto slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (aRequest.m_method == "GET" && !aRequest.Query("watch").empty()) {
      return Watch(aRequest, kind);
    }
    std::lock_guard lock(m_mutex);
    auto& objects = m_state.m_objects[kind];
    if (aRequest.m_method == "GET" && name.empty()) {
      return { 200, ListLocked(objects, aRequest.Query("after")) };
    }
    if (aRequest.m_method == "GET") {
      const auto object = objects.find(name);
      return object == objects.end() ? std::pair<int, std::string>{ 404, "{}" }
                                     : std::pair<int, std::string>{ 200, Compact(object->second) };
    }
    const auto body = ParseJson(aRequest.m_body);
    if (aRequest.m_method == "POST") {
      if (!body || !(*body)["metadata"]["name"].isString()) {
        return { 400, "{}" };
      }
      const std::string created = (*body)["metadata"]["name"].asString();
      if (objects.count(created)) {
        return { 409, Compact(objects[created]) };
      }
      PutLocked(kind, created, (*body)["spec"]);
      return { 200, Compact(objects[created]) };
    }
    const auto object = objects.find(name);
    if (object == objects.end()) {
      return { 404, "{}" };
    }
    std::string rev = aRequest.Query("rev");
    if (body && (*body)["metadata"]["rev"].isUInt64()) {
      rev = std::to_string((*body)["metadata"]["rev"].asUInt64());
    }
    if (!rev.empty() && rev != std::to_string(object->second["metadata"]["rev"].asUInt64())) {
      return { 409, Compact(object->second) };
    }
    if (aRequest.m_method == "DELETE") {
      AddEvent(kind, object->second, true, ++m_state.m_revision);
      objects.erase(object);
      m_changed.notify_all();
      return { 200, "{}" };
    }
    if (aRequest.m_method == "PUT" && body) {
      PutLocked(kind, name, (*body)["spec"]);
      return { 200, Compact(objects[name]) };
    }
    return { 400, "{}" };
  }

  std::string ListLocked(const std::map<std::string, Json::Value>& aObjects,
                         const std::string& aAfter) const
  {
    Json::Value list;
    list["items"] = Json::Value(Json::arrayValue);
    list["hasMore"] = false;
    for (auto object = aAfter.empty() ? aObjects.begin() : aObjects.upper_bound(aAfter);
         object != aObjects.end();
         ++object) {
      if (list["items"].size() == 500) {
        list["hasMore"] = true;
        break;
      }
      list["items"].append(object->second);
    }
    list["asOf"] = Json::UInt64{ m_state.m_revision };
    return Compact(list);
  }

  std::pair<int, std::string> Watch(const Message& aRequest, const std::string& aKind)
  {
    const std::uint64_t since = std::strtoull(aRequest.Query("watch").c_str(), nullptr, 10);
    const std::int64_t wait = std::min(30'000L, std::atol(aRequest.Query("waitMs").c_str()));
    const auto end = Clock::now() + milliseconds{ wait };
    std::unique_lock lock(m_mutex);
    const std::uint64_t era = m_era;
    while (!m_isAway) {
      if (since > m_state.m_revision || era != m_era) {
        return { 410, "{}" }; // A revision that the store doesn't have.
      }
      Json::Value answer;
      answer["events"] = Json::Value(Json::arrayValue);
      for (const Event& event : m_state.m_events) {
        if (event.m_revision > since && event.m_kind == aKind) {
          answer["events"].append(event.m_event);
        }
      }
      if (!answer["events"].empty() || Clock::now() >= end) {
        answer["asOf"] = Json::UInt64{ m_state.m_revision };
        return { 200, Compact(answer) };
      }
      m_changed.wait_until(lock, end);
    }
    return { 503, "{}" };
  }

  Record& m_record;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  State m_state;
  State m_copy;
  std::uint64_t m_era = 1;
  bool m_isAway = false;
  std::int64_t m_second = -1;
  unsigned m_writes = 0;
  unsigned m_reads = 0;
  std::atomic<std::uint64_t> m_calls{ 0 };
  std::atomic<std::uint64_t> m_rejected{ 0 };
  Listener m_listener;
};

/// What a server does with a request that it runs. Writes the whole answer.
using Run = std::function<void(Connection&, const Message&)>;

/// One run, as the server has seen it.
struct RunSeen
{
  std::int64_t m_at;
  std::string m_request;
  std::string m_server;
  std::string m_service;
  std::string m_target;
  std::string m_body;
};

/// A server of a service: registers itself, sends its heartbeat, answers health checks, rejects
/// requests that name another server, and runs the others.
class Server
{
public:
  Server(Store& aStore,
         Record& aRecord,
         const std::string& aIp,
         std::string aId,
         std::string aService,
         std::string aZone,
         Run aRun = {})
    : m_store(aStore)
    , m_record(aRecord)
    , m_id(std::move(aId))
    , m_service(std::move(aService))
    , m_zone(std::move(aZone))
    , m_run(std::move(aRun))
    , m_born(WallMs())
    , m_listener(std::make_unique<Listener>(
        aIp,
        [this](Connection& aConnection) { Serve(aConnection); }))
    , m_address(m_listener->Address())
  {
    Beat();
    m_heart = std::thread([this] { Live(); });
  }
  ~Server() { Stop(); }

  const std::string& Id() const { return m_id; }
  const std::string& Service() const { return m_service; }
  const std::string& Address() const { return m_address; }

  /// @return whether the store has accepted the report.
  bool Drain()
  {
    m_state = "draining";
    return Beat();
  }
  /// The server leaves: its entry is removed and its connections end.
  void Stop()
  {
    if (m_isStopping.exchange(true)) {
      return;
    }
    m_heart.join();
    m_store.Remove("servers", m_id);
    m_listener->Stop();
  }
  /// The process of the server ends, and starts again under its id and address.
  void Crash(std::int64_t aDownMs)
  {
    m_backAt = NowMs() + aDownMs;
    m_listener->Suspend();
  }
  std::vector<RunSeen> Runs()
  {
    std::lock_guard lock(m_mutex);
    return m_runs;
  }

  std::string Signature() const { return "sig." + m_id; }
  /// A sound answer with a length.
  std::string SoundAnswer(const Message& aRequest, const std::string& aBody) const
  {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + aRequest.Header("request-id") +
           "\r\nResponse-Signature: " + Signature() + "\r\nKeep-Alive: timeout=10\r\n" +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

private:
  static std::int64_t WallMs()
  {
    return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
  }

  void Live()
  {
    constexpr std::int64_t kWarmupMs = 3000;
    std::int64_t nextBeat = NowMs() + 1500;
    std::int64_t warmAt = 0;
    while (!m_isStopping) {
      SleepMs(20);
      const std::int64_t now = NowMs();
      if (const std::int64_t backAt = m_backAt; backAt != 0) {
        if (now < backAt) {
          continue;
        }
        m_backAt = 0;
        m_born = WallMs();
        m_seq = 0;
        warmAt = now + kWarmupMs;
        m_listener->Resume();
        nextBeat = now;
      }
      if (now >= nextBeat) {
        nextBeat = now + 1500;
        m_coldMs = std::max<std::int64_t>(0, warmAt - now);
        Beat();
      }
    }
  }

  bool Beat()
  {
    Json::Value entry;
    entry["service"] = m_service;
    entry["address"] = m_address;
    entry["zone"] = m_zone;
    entry["version"] = "v1";
    entry["slots"] = 8;
    entry["state"] = m_state.load();
    entry["coldRemainingMs"] = Json::Int64{ m_coldMs };
    entry["seq"] = Json::UInt64{ ++m_seq };
    entry["born"] = Json::Int64{ m_born.load() };
    return m_store.Put("servers", m_id, entry) != 0;
  }

  void Serve(Connection& aConnection)
  {
    while (true) {
      const auto request = aConnection.Read(10'000);
      if (!request || !request->m_isComplete) {
        return;
      }
      if (request->Path() == "/health") {
        const bool isReady = std::string(m_state.load()) == "ready";
        if (!aConnection.Write(std::string("HTTP/1.1 ") + (isReady ? "200 OK" : "503 Leaving") +
                               "\r\nInstance-Id: " + m_id + "\r\nCold-Remaining-Ms: " +
                               std::to_string(m_coldMs) + "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      const std::string id = request->Header("request-id");
      const std::string target = request->Header("target-instance");
      if (!target.empty() && target != m_id) {
        aConnection.Write("HTTP/1.1 421 Other\r\nRequest-Id: " + id +
                          "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      {
        std::lock_guard lock(m_mutex);
        m_runs.push_back({ NowMs(), id, m_id, m_service, request->m_target, request->m_body });
      }
      m_record.Line("run       %s by %s (%s) %s %s, %zu body bytes",
                    id.c_str(),
                    m_id.c_str(),
                    m_service.c_str(),
                    request->m_method.c_str(),
                    request->m_target.c_str(),
                    request->m_body.size());
      if (m_run) {
        m_run(aConnection, *request);
        if (aConnection.Fd() < 0) {
          return;
        }
      } else {
        SleepMs(5);
        if (!aConnection.Write(SoundAnswer(*request, "ran by " + m_service + " " + m_id))) {
          return;
        }
      }
    }
  }

  Store& m_store;
  Record& m_record;
  const std::string m_id;
  const std::string m_service;
  const std::string m_zone;
  const Run m_run;
  std::atomic<std::int64_t> m_born;
  /// When a crashed server is back; 0 if it runs.
  std::atomic<std::int64_t> m_backAt{ 0 };
  std::atomic<std::int64_t> m_coldMs{ 0 };
  std::atomic<const char*> m_state{ "ready" };
  std::atomic<std::uint64_t> m_seq{ 0 };
  std::atomic<bool> m_isStopping{ false };
  std::mutex m_mutex;
  std::vector<RunSeen> m_runs;
  std::unique_ptr<Listener> m_listener;
  const std::string m_address;
  std::thread m_heart;
};

/// Loopback addresses of this case: 127.x.y.1 and following.
inline std::string Ip(int aNumber)
{
  const int process = static_cast<int>(::getpid());
  return "127." + std::to_string(20 + process % 200) + "." + std::to_string(process / 200 % 250) +
         "." + std::to_string(aNumber);
}

/// Bounds and limits of a small deployment, as in sites/hormas-sur.toml.
struct Bounds
{
  int m_memoryMb = 260;
  int m_maxFds = 4100;
  double m_graceS = 6;
  int m_drainMs = 2500;
  int m_configApplyMs = 2500;
  int m_stableWindowMs = 4000;
};

/// A machine that runs the command of deploy/system.toml.
class Gateway
{
public:
  Gateway(std::string aName,
          std::string aIp,
          std::string aZone,
          std::string aRegion,
          const std::string& aDirectory,
          Bounds aBounds = {})
    : m_name(std::move(aName))
    , m_ip(std::move(aIp))
    , m_zone(std::move(aZone))
    , m_region(std::move(aRegion))
    , m_directory(aDirectory)
    , m_bounds(aBounds)
  {
  }
  ~Gateway() { Kill(); }

  const std::string& Name() const { return m_name; }
  std::string Front() const { return m_ip + ":8641"; }
  std::string Ready() const { return m_ip + ":8640"; }
  std::string Control() const { return m_ip + ":8649"; }
  std::string Directory() const { return m_ip + ":8644"; }
  pid_t Pid() const { return m_pid; }

  /// Fills in deploy/settings.yaml.template, as DEPLOY.md says.
  void WriteSettings(const std::string& aStore,
                     const std::map<std::string, std::string>& aZones,
                     const std::vector<std::string>& aSeeds)
  {
    Json::Value zones;
    for (const auto& [zone, region] : aZones) {
      zones[zone] = region;
    }
    Json::Value seeds(Json::arrayValue);
    for (const std::string& seed : aSeeds) {
      seeds.append(seed);
    }
    const auto number = [](double aValue) {
      std::ostringstream text;
      text << aValue;
      return text.str();
    };
    const std::map<std::string, std::string> values{
      { "nodeName", m_name },
      { "zone", m_zone },
      { "region", m_region },
      { "zones|json", Compact(zones) },
      { "listen.front", Front() },
      { "listen.ready", Ready() },
      { "listen.directory", Directory() },
      { "listen.control", Control() },
      { "ip", m_ip },
      { "internalPortRange.0", "7620" },
      { "seeds|json", Compact(seeds) },
      { "platform.address", aStore },
      { "limits.cores", "1" },
      { "limits.cpuShare", "0.2" },
      { "limits.maxFds", number(m_bounds.m_maxFds) },
      { "limits.memoryMb", number(m_bounds.m_memoryMb) },
      { "bounds.graceS", number(m_bounds.m_graceS) },
      { "bounds.drainMs", number(m_bounds.m_drainMs) },
      { "bounds.configApplyMs", number(m_bounds.m_configApplyMs) },
      { "bounds.budgetRatio", "0.2" },
      { "bounds.budgetSlack", "62" },
      { "bounds.budgetWindowS", "10" },
      { "bounds.coldOver", "1.5" },
      { "bounds.coldSlack", "5" },
    };
    std::ifstream file("deploy/settings.yaml.template");
    std::stringstream text;
    text << file.rdbuf();
    std::string rest = text.str();
    std::string filled;
    for (auto at = rest.find("{{"); at != std::string::npos; at = rest.find("{{")) {
      const auto end = rest.find("}}", at);
      const std::string key = rest.substr(at + 2, end - at - 2);
      const auto value = values.find(key);
      if (value == values.end()) {
        std::fprintf(stderr, "template: no value for %s\n", key.c_str());
        std::exit(2);
      }
      filled += rest.substr(0, at) + value->second;
      rest = rest.substr(end + 2);
    }
    filled += rest;
    std::ofstream(SettingsFile()) << filled;
  }

  void Start()
  {
    const std::string variable = "JAYLANE_NODE_FILE=" + SettingsFile();
    const char* home = std::getenv("HOME");
    const char* path = std::getenv("PATH");
    const std::string homeVariable = std::string("HOME=") + (home ? home : "/");
    const std::string pathVariable = std::string("PATH=") + (path ? path : "/usr/bin:/bin");
    const std::string log = m_directory + "/" + m_name + ".log";
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid != 0) {
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(2);
    }
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    const char* program = "target/platform/jaylane-gateway"; // `run` of deploy/system.toml
    char* const arguments[] = { const_cast<char*>(program), nullptr };
    char* const environment[] = { const_cast<char*>(variable.c_str()),
                                  const_cast<char*>(homeVariable.c_str()),
                                  const_cast<char*>(pathVariable.c_str()),
                                  nullptr };
    ::execve(program, arguments, environment);
    ::_exit(127);
  }
  void Signal(int aSignal)
  {
    if (m_pid > 0) {
      ::kill(m_pid, aSignal);
    }
  }
  void Kill()
  {
    if (m_pid > 0) {
      ::kill(m_pid, SIGKILL);
      ::waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }
  /// @return the status as of waitpid() if the process has ended.
  std::optional<int> Ended()
  {
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_pid = -1;
      return status;
    }
    return std::nullopt;
  }
  bool IsReady() const
  {
    const auto connection = Connection::Open(Ready());
    if (!connection || !connection->Write("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      return false;
    }
    const auto answer = connection->Read(1000);
    return answer && answer->m_status == 200;
  }
  bool WaitUntilReady(std::int64_t aTimeoutMs)
  {
    const auto end = NowMs() + aTimeoutMs;
    while (NowMs() < end) {
      if (IsReady()) {
        return true;
      }
      SleepMs(100);
    }
    return false;
  }

private:
  std::string SettingsFile() const { return m_directory + "/" + m_name + ".yaml"; }

  const std::string m_name;
  const std::string m_ip;
  const std::string m_zone;
  const std::string m_region;
  const std::string m_directory;
  const Bounds m_bounds;
  pid_t m_pid = -1;
};

/// A temporary folder, removed at the end unless KEEP is set.
class TemporaryDirectory
{
public:
  TemporaryDirectory()
  {
    const char* base = std::getenv("TMPDIR");
    m_path = std::string(base ? base : "/tmp") + "/review-XXXXXX";
    if (!::mkdtemp(m_path.data())) {
      std::perror("mkdtemp");
      std::exit(2);
    }
  }
  ~TemporaryDirectory()
  {
    if (!std::getenv("KEEP")) {
      std::system(("rm -rf '" + m_path + "'").c_str());
    }
  }
  const std::string& Path() const { return m_path; }

private:
  std::string m_path;
};

inline Json::Value Rule(const std::string& aName,
                        const std::string& aKind,
                        const std::string& aPrefix,
                        const std::string& aService,
                        int aTimeoutMs = 2000,
                        int aAttempts = 2)
{
  Json::Value rule;
  rule["name"] = aName;
  rule["kind"] = aKind;
  rule["targetLatencyMs"] = 400;
  rule["priority"] = 1;
  rule["sticky"] = false;
  rule["match"]["pathPrefix"] = aPrefix;
  rule["action"]["service"] = aService;
  rule["action"]["timeoutMs"] = aTimeoutMs;
  rule["action"]["attempts"] = aAttempts;
  return rule;
}

inline Json::Value Cluster(const std::string& aName)
{
  Json::Value cluster;
  cluster["name"] = aName;
  cluster["healthPath"] = "/health";
  cluster["maxConnections"] = 390;
  cluster["warmupS"] = 3.0;
  cluster["coldPerS"] = 10.0;
  return cluster;
}

inline Json::Value Configuration(std::uint64_t aVersion,
                                 const std::vector<Json::Value>& aRules,
                                 const std::vector<std::string>& aServices,
                                 const std::string& aHost)
{
  Json::Value configuration;
  configuration["version"] = Json::UInt64{ aVersion };
  Json::Value listener;
  listener["host"] = aHost;
  listener["rules"] = Json::Value(Json::arrayValue);
  for (const Json::Value& rule : aRules) {
    listener["rules"].append(rule);
  }
  configuration["listeners"].append(listener);
  for (const std::string& service : aServices) {
    configuration["clusters"].append(Cluster(service));
  }
  configuration["limits"]["maxHeaderBytes"] = 16384;
  configuration["limits"]["maxBodyBytes"] = 4194304;
  configuration["limits"]["headerTimeoutMs"] = 5000;
  configuration["limits"]["idleTimeoutMs"] = 10000;
  return configuration;
}

/// @return whether the case runs with its disruption.
inline bool HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

} // namespace standin
