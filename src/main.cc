#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "rooksill/controller/process.h"
#include "rooksill/settings/settings.h"

namespace {

void set_up_log() {
  auto logger = spdlog::stderr_logger_st("rooksill");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(logger);
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level != nullptr ? level : "info";
  spdlog::set_level(name == "debug"   ? spdlog::level::debug
                    : name == "error" ? spdlog::level::err
                                      : spdlog::level::info);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"rooksill: a cluster scheduler that rents the machines it places tasks on"};
  std::string config, operators;
  bool check = false;
  app.add_option("--config", config, "the platform's settings (JSON)")->required();
  app.add_option("--settings", operators, "the operators' own settings (JSON)");
  app.add_flag("--check", check, "check the settings and exit");
  app.set_version_flag("--version", std::string("rooksill ") + ROOKSILL_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    if (e.get_exit_code() == 0) return app.exit(e);
    std::cerr << "rooksill: " << e.what()
              << "\nusage: rooksill [--check] [--settings FILE] --config FILE\n";
    return 2;
  }
  rooksill::Settings settings;
  try {
    settings.platform = rooksill::parse_platform(rooksill::read_file(config));
    if (!operators.empty())
      settings.operators = rooksill::parse_operators(rooksill::read_file(operators));
  } catch (const rooksill::SettingsError& e) {
    std::cerr << "rooksill: " << e.what() << "\n";
    return 2;
  }
  if (check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    set_up_log();
    rooksill::controller::serve(settings);
  } catch (const std::exception& e) {
    std::cerr << "rooksill: " << e.what() << "\n";
    return 1;
  }
  return 0;
}
