// Generated from schemas/configuration.schema.json by scripts/embed-documents.
#include "configurationschema.h"

namespace cowsliprock {

std::string_view configurationSchema() noexcept
{
    // clang-format off
    return R"EMBEDDED({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Configuration of cowsliprock",
  "type": "object",
  "additionalProperties": false,
  "definitions": {
    "taskResources": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "cpuMillis",
        "memoryMb"
      ],
      "properties": {
        "cpuMillis": {
          "type": "integer",
          "minimum": 1,
          "maximum": 1000000000000,
          "description": "thousandths of a processor"
        },
        "memoryMb": {
          "type": "integer",
          "minimum": 1,
          "maximum": 1000000000000
        },
        "accelerators": {
          "type": "integer",
          "minimum": 0,
          "maximum": 1000000000
        }
      }
    },
    "quota": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "cpuMillis",
        "memoryMb"
      ],
      "properties": {
        "cpuMillis": {
          "type": "integer",
          "minimum": 1,
          "maximum": 1000000000000,
          "description": "thousandths of a processor"
        },
        "memoryMb": {
          "type": "integer",
          "minimum": 1,
          "maximum": 1000000000000
        },
        "accelerators": {
          "type": "integer",
          "minimum": 0,
          "maximum": 1000000000
        }
      }
    },
    "objectives": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "waitingTimeMs": {
          "type": "integer",
          "minimum": 0,
          "maximum": 86400000,
          "description": "0: no objective"
        },
        "waitingShare": {
          "type": "number",
          "minimum": 0,
          "maximum": 1,
          "description": "share of requests that meet waitingTimeMs"
        },
        "deadlineShare": {
          "type": "number",
          "minimum": 0,
          "maximum": 1,
          "description": "share of requests or tasks that meet their deadline"
        },
        "availability": {
          "type": "number",
          "minimum": 0,
          "maximum": 1,
          "description": "share of requests that get a whole answer"
        }
      }
    },
    "service": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "name",
        "team",
        "policy"
      ],
      "properties": {
        "name": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "lower-case letters, digits, '-' and '.'"
        },
        "team": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "name of a team"
        },
        "policy": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "name of a policy"
        },
        "priority": {
          "enum": [
            "urgent",
            "normal",
            "batch"
          ]
        },
        "slots": {
          "type": "integer",
          "minimum": 1,
          "maximum": 65536
        },
        "connections": {
          "type": "integer",
          "minimum": 1,
          "maximum": 65536
        },
        "queueLimit": {
          "type": "integer",
          "minimum": 1,
          "maximum": 1000000
        },
        "retryBudgetPercent": {
          "type": "integer",
          "minimum": 0,
          "maximum": 100
        },
        "expectedServiceTimeMs": {
          "type": "integer",
          "minimum": 1,
          "maximum": 25000
        },
        "defaultDeadlineMs": {
          "type": "integer",
          "minimum": 1,
          "maximum": 25000
        },
        "objectives": {
          "$ref": "#/definitions/objectives"
        }
      }
    },
    "job": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "name",
        "team",
        "policy",
        "kind",
        "perTask"
      ],
      "properties": {
        "name": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "lower-case letters, digits, '-' and '.'"
        },
        "team": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "name of a team"
        },
        "policy": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "name of a policy"
        },
        "kind": {
          "enum": [
            "service",
            "batch",
            "gang"
          ]
        },
        "priority": {
          "enum": [
            "urgent",
            "normal",
            "batch"
          ]
        },
        "exclusive": {
          "type": "boolean"
        },
        "mayYield": {
          "type": "boolean"
        },
        "taskCount": {
          "type": "integer",
          "minimum": 1,
          "maximum": 100000
        },
        "perTask": {
          "$ref": "#/definitions/taskResources"
        },
        "expectedRunTimeMs": {
          "type": "integer",
          "minimum": 0,
          "maximum": 31536000000
        },
        "deadlineMs": {
          "type": "integer",
          "minimum": 0,
          "maximum": 31536000000,
          "description": "counted from acceptance; 0: none"
        },
        "maxAttempts": {
          "type": "integer",
          "minimum": 1,
          "maximum": 1000
        },
        "regions": {
          "type": "array",
          "maxItems": 1000,
          "items": {
            "type": "string",
            "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
            "maxLength": 63,
            "description": "name of a region"
          }
        },
        "service": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "name of a service; for kind service only"
        }
      }
    },
    "policy": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "name",
        "placement"
      ],
      "properties": {
        "name": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "lower-case letters, digits, '-' and '.'"
        },
        "placement": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "name of a placement policy"
        },
        "waitingWeight": {
          "type": "number",
          "minimum": 0,
          "maximum": 1000
        },
        "packingWeight": {
          "type": "number",
          "minimum": 0,
          "maximum": 1000
        },
        "crossRegionWeight": {
          "type": "number",
          "minimum": 0,
          "maximum": 1000
        }
      }
    },
    "team": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "name",
        "quota"
      ],
      "properties": {
        "name": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "lower-case letters, digits, '-' and '.'"
        },
        "quota": {
          "$ref": "#/definitions/quota"
        }
      }
    },
    "caller": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "name",
        "homeRegion"
      ],
      "properties": {
        "name": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "lower-case letters, digits, '-' and '.'"
        },
        "homeRegion": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9.-]{0,62}$",
          "maxLength": 63,
          "description": "name of a region"
        }
      }
    }
  },
  "properties": {
    "services": {
      "type": "array",
      "maxItems": 20000,
      "items": {
        "$ref": "#/definitions/service"
      }
    },
    "jobs": {
      "type": "array",
      "maxItems": 20000,
      "items": {
        "$ref": "#/definitions/job"
      }
    },
    "policies": {
      "type": "array",
      "maxItems": 20000,
      "items": {
        "$ref": "#/definitions/policy"
      }
    },
    "teams": {
      "type": "array",
      "maxItems": 20000,
      "items": {
        "$ref": "#/definitions/team"
      }
    },
    "callers": {
      "type": "array",
      "maxItems": 20000,
      "items": {
        "$ref": "#/definitions/caller"
      }
    }
  }
}
)EMBEDDED";
    // clang-format on
}

} // namespace cowsliprock
