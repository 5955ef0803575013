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

// Desired is the state that an operator asks for: by row key, the canonical record
// or a deletion.
type Desired map[string]dissemination.Change

// record is what Contract and Backend have in common.
type record interface {
	config.Validator
	Marshal() ([]byte, error)
}

// kind describes one kind of record for the code that they share.
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
// under the directory at path. Faults of all files are returned together, as
// config.Errors, and so are a customer or an API key that stands twice.
func LoadContracts(path string) (Desired, error) {
	return load(path, contractKind)
}

// LoadBackends reads backend records as LoadContracts reads contracts.
func LoadBackends(path string) (Desired, error) {
	return load(path, backendKind)
}

// loader collects the records and the faults of several files.
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
	if other, twice := l.files[key]; twice {
		l.fault(file, data, r, l.kind.idField, id+" also stands in "+other)
		return nil
	}
	l.files[key] = file
	l.addKeys(file, data, r)
	body, err := r.Marshal()
	if err != nil {
		return badInput("%s: %v", file, err)
	}
	l.wanted[key] = dissemination.Change{Body: string(body)}
	return nil
}

func (l *loader) addKeys(file string, data []byte, r record) {
	c, ok := r.(*contract.Contract)
	if !ok {
		return
	}
	for i, k := range c.Keys {
		if other, twice := l.keys[k.SHA256]; twice {
			l.fault(file, data, r, keyField(i), "the same API key also stands in "+other)
			continue
		}
		l.keys[k.SHA256] = file
	}
}

func (l *loader) fault(file string, data []byte, r record, field, message string) {
	line := config.LineOf(data, r, field)
	l.faults = append(l.faults, &config.FieldError{File: file, Line: line, Field: field, Message: message})
}
