package operator

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/hibiscusspur/hibiscusspur/config"
	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
)

// Desired is the desired state of some rows: by row key, the record in canonical form
// or a deletion.
type Desired map[string]dissemination.Change

// record is the common interface of Contract and Backend.
type record interface {
	config.Validator
	Marshal() ([]byte, error)
}

// kind parametrises the loader for one kind of record.
type kind struct {
	prefix  string
	idField string
	parse   func(file string, data []byte) (record, string, error)
}

var contractKind = kind{
	prefix:  dissemination.ContractPrefix,
	idField: "customer",
	parse: func(file string, data []byte) (record, string, error) {
		c, err := contract.Parse(file, data)
		if err != nil {
			return nil, "", err
		}
		return c, c.Customer, nil
	},
}

var backendKind = kind{
	prefix:  dissemination.BackendPrefix,
	idField: "id",
	parse: func(file string, data []byte) (record, string, error) {
		b, err := contract.ParseBackend(file, data)
		if err != nil {
			return nil, "", err
		}
		return b, b.ID, nil
	},
}

// LoadContracts reads the contract file at path, or all *.yaml and *.yml files
// under the directory at path. The faults of all files, including duplicate customers
// and API keys, are returned together as config.Errors.
func LoadContracts(path string) (Desired, error) {
	return load(path, contractKind)
}

// LoadBackends reads backend records in the same way as LoadContracts reads contracts.
func LoadBackends(path string) (Desired, error) {
	return load(path, backendKind)
}

// loader collects the records and faults of several files.
type loader struct {
	kind   kind
	wanted Desired
	files  map[string]string // file by row key
	keys   map[string]string // file by hash of an API key
	faults config.Errors
}

func load(path string, k kind) (Desired, error) {
	files, err := listFiles(path)
	if err != nil {
		return nil, badInput("%v", err)
	}
	l := &loader{kind: k, wanted: Desired{}, files: map[string]string{}, keys: map[string]string{}}
	for _, file := range files {
		if err := l.add(file); err != nil {
			return nil, err
		}
	}
	if len(l.faults) > 0 {
		return nil, l.faults
	}
	return l.wanted, nil
}

// listFiles returns path itself, or the YAML files under it if it is a directory.
func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(p string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := strings.HasPrefix(d.Name(), ".") && p != path
		if d.IsDir() && hidden {
			return filepath.SkipDir
		}
		if ext := filepath.Ext(p); !d.IsDir() && !hidden && (ext == ".yaml" || ext == ".yml") {
			files = append(files, p)
		}
		return nil
	})
	if err == nil && len(files) == 0 {
		err = errors.New("no *.yaml or *.yml file in " + path)
	}
	return files, err
}

func (l *loader) add(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return badInput("%v", err)
	}
	r, id, err := l.kind.parse(file, data)
	var faults config.Errors
	if errors.As(err, &faults) {
		l.faults = append(l.faults, faults...)
		return nil
	}
	if err != nil {
		return badInput("%s: %v", file, err)
	}
	key := l.kind.prefix + id
	if other, duplicate := l.files[key]; duplicate {
		l.fault(file, data, r, l.kind.idField, id+" is also defined in "+other)
		return nil
	}
	l.files[key] = file
	l.checkKeys(file, data, r)
	body, err := r.Marshal()
	if err != nil {
		return badInput("%s: %v", file, err)
	}
	l.wanted[key] = dissemination.Change{Body: string(body)}
	return nil
}

func (l *loader) checkKeys(file string, data []byte, r record) {
	c, ok := r.(*contract.Contract)
	if !ok {
		return
	}
	for i, k := range c.Keys {
		if other, duplicate := l.keys[k.SHA256]; duplicate {
			l.fault(file, data, r, keyField(i), "the same API key is also defined in "+other)
			continue
		}
		l.keys[k.SHA256] = file
	}
}

func (l *loader) fault(file string, data []byte, r record, field, message string) {
	line := config.LineOf(data, r, field)
	l.faults = append(l.faults, &config.FieldError{File: file, Line: line, Field: field, Message: message})
}
