// The listening side: users, workers and health checks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "rooksill/net/http_parser.h"
#include "rooksill/net/loop.h"
#include "rooksill/net/socket.h"

namespace rooksill::net {

class HttpServer {
 public:
  // (id, method, target, body)
  using Handler = std::function<void(uint64_t, HttpMessage)>;

  HttpServer(struct ev_loop* loop, const std::string& address, size_t max_connections,
             Handler handler);
  ~HttpServer();
  void reply(uint64_t id, int status, const std::string& body, double retry_after_s);

 private:
  struct Connection;
  void accept();
  void on_io(uint64_t id, int events);
  void read(Connection& c);
  bool parse(Connection& c);
  void write(Connection& c);
  void send(Connection& c, int status, const std::string& body, double retry_after_s, bool close);
  void drop(uint64_t id);
  bool drop_idle();
  void sweep();

  struct ev_loop* loop_;
  Socket listener_;
  size_t max_connections_;
  Handler handler_;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  uint64_t next_ = 1;
  std::unique_ptr<IoWatcher> accept_;
  std::unique_ptr<Timer> sweep_;
};

}  // namespace rooksill::net
