// Uploads whose server answers before it has read the whole body, without a stated length, and then
// breaks the connection off with a reset. See claim.txt.

#include "../common/standins.h"

using namespace review;

namespace {

constexpr std::size_t kUploadBytes = 360'000;
constexpr std::size_t kAnswerBytes = 6'000;
constexpr std::size_t kSentBytes = 2'000;
constexpr int kRequests = 20;

std::string AnswerFor(const std::string& aId)
{
  std::string body;
  while (body.size() < kAnswerBytes) {
    body += aId + ";";
  }
  return body.substr(0, kAnswerBytes);
}

} // namespace

int main(int, char** aArguments)
{
  signal(SIGPIPE, SIG_IGN);
  Record record(std::string(aArguments[1]) + "/record.txt");
  const std::string directory = TemporaryDirectory();
  const bool hasTrouble = HasTrouble();
  record.Write("trouble %d", hasTrouble);

  Store store("127.0.0.1");
  std::atomic<int> ran{ 0 };
  Listener server(
    "127.0.0.1",
    [&](Connection& aConnection) {
      while (true) {
        Message request;
        if (!ReadHead(aConnection, request, 30'000)) {
          return;
        }
        if (request.Target() == "/health") {
          aConnection.Send("HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        const std::string id = request.Header("request-id");
        if (request.Header("target-instance") != "i-1") {
          aConnection.Send("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id +
                           "\r\nContent-Length: 0\r\n\r\n");
          return;
        }
        const int number = ++ran;
        const std::string status = number % 2 == 1 ? "200 OK" : "500 Internal Server Error";
        const std::string body = AnswerFor(id);
        aConnection.Send("HTTP/1.1 " + status + "\r\nRequest-Id: " + id +
                         "\r\nResponse-Signature: 3e1b.07.5a2." + std::to_string(body.size()) +
                         ".0.c9f2a4d1\r\nConnection: close\r\n\r\n" + body.substr(0, kSentBytes));
        // Half of the connections are reset; both kinds of answer are among them.
        if (hasTrouble && number % 4 < 2) {
          SleepMs(100);
          record.Write("server: ran %s, answered %s, sent %zu of %zu bytes, then reset",
                       id.c_str(),
                       status.c_str(),
                       kSentBytes,
                       body.size());
          aConnection.Reset();
          return;
        }
        while (aConnection.m_buffer.size() < request.Length() && aConnection.ReadSome(5000)) {
        }
        aConnection.Send(body.substr(kSentBytes));
        record.Write("server: ran %s, answered %s, read %zu bytes, sent all %zu bytes, then closed",
                     id.c_str(),
                     status.c_str(),
                     aConnection.m_buffer.size(),
                     body.size());
        return;
      }
    },
    1448,
    8 * 1024);

  store.Put("servers", "i-1", ServerEntry("recepcion", server.Address()));
  store.Put(
    "config",
    "main",
    Configuration(7, Rule("r-scan", "upload", "/scan/", "recepcion", 8000), Cluster("recepcion")));
  Gateway gateway("front-slt-norte-1", directory, store.Address());
  if (!gateway.AwaitReady(20)) {
    record.Write("the gateway is not ready");
    gateway.Kill();
    Finish(2);
  }

  int wrong = 0;
  int answered = 0;
  for (int i = 0; i < kRequests; ++i) {
    char id[32];
    snprintf(id, sizeof id, "5c41d07be2a3%04d", i);
    auto connection = gateway.Open();
    if (!connection) {
      record.Write("cannot connect to the gateway");
      gateway.Kill();
      Finish(2);
    }
    connection->Send("POST /scan/2f HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + std::string(id) +
                     "\r\nTimeout-Ms: 8000\r\nContent-Length: " + std::to_string(kUploadBytes) +
                     "\r\n\r\n" + std::string(kUploadBytes, 's'));
    record.Write("client: sent %s", id);
    Message answer;
    const bool isComplete = ReadMessage(*connection, answer, 10'000);
    const std::string expected = AnswerFor(id);
    const bool isServers = !answer.Header("response-signature").empty();
    const bool isWrong = isComplete && isServers && answer.m_body != expected;
    answered += isComplete ? 1 : 0;
    wrong += isWrong ? 1 : 0;
    record.Write("client: %s got %s, %s, %s signature, %zu of the server's %zu bytes%s",
                 id,
                 answer.m_startLine.c_str(),
                 isComplete ? "complete" : connection->m_ended.c_str(),
                 isServers ? "with" : "without",
                 answer.m_body.size(),
                 expected.size(),
                 isWrong ? ": BROKEN (MIXED)" : "");
  }
  record.Write("%d requests, %d complete answers, %d of them shorter than the server's",
               kRequests,
               answered,
               wrong);
  gateway.Kill();
  if (!hasTrouble && answered < kRequests) {
    Finish(2);
  }
  Finish(wrong > 0 ? 1 : 0);
}
