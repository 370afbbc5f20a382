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

constexpr int kExitCannotStart = 1;
constexpr int kExitUsage = 2;  // invalid command line or invalid settings

struct Options {
  std::string config_file;
  std::string operator_settings_file;  // optional; empty if not given
  bool check_only = false;
};

void declare_options(CLI::App& app, Options& options) {
  app.add_option("--config", options.config_file, "the platform's settings (JSON)")->required();
  app.add_option("--settings", options.operator_settings_file,
                 "the operators' own settings (JSON)");
  app.add_flag("--check", options.check_only, "check the settings and exit");
  app.set_version_flag("--version", std::string("rooksill ") + ROOKSILL_VERSION);
}

rooksill::Settings read_settings(const Options& options) {
  rooksill::Settings settings;
  settings.platform = rooksill::parse_platform_settings(rooksill::read_file(options.config_file));
  if (!options.operator_settings_file.empty())
    settings.operators =
        rooksill::parse_operator_settings(rooksill::read_file(options.operator_settings_file));
  return settings;
}

// Configures logging to standard error. The environment variable LOG_LEVEL is error, info (the
// default) or debug.
void set_up_log() {
  auto logger = spdlog::stderr_logger_st("rooksill");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(logger);
  const char* variable = std::getenv("LOG_LEVEL");
  const std::string level = variable != nullptr ? variable : "info";
  spdlog::set_level(level == "debug"   ? spdlog::level::debug
                    : level == "error" ? spdlog::level::err
                                       : spdlog::level::info);
}

// Runs the controller and returns an exit status, normally only if the process cannot start.
int serve(const rooksill::Settings& settings) {
  // Writing to a connection closed by the peer must not terminate the process; the write call
  // returns the error instead.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    set_up_log();
    rooksill::controller::serve(settings);
  } catch (const std::exception& error) {
    std::cerr << "rooksill: " << error.what() << "\n";
    return kExitCannotStart;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"rooksill: a cluster scheduler that rents the machines it places tasks on"};
  Options options;
  declare_options(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) return app.exit(error);
    std::cerr << "rooksill: " << error.what()
              << "\nusage: rooksill [--check] [--settings FILE] --config FILE\n";
    return kExitUsage;
  }
  rooksill::Settings settings;
  try {
    settings = read_settings(options);
  } catch (const rooksill::SettingsError& error) {
    std::cerr << "rooksill: " << error.what() << "\n";
    return kExitUsage;
  }
  if (options.check_only) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return serve(settings);
}