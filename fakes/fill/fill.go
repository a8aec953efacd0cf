// Package fill makes values in which no field is empty, so that tests see each field that a build writes or reads.
package fill

import (
	"fmt"
	"hash/fnv"
	"reflect"
)

// maxDepth ends types that contain themselves.
const maxDepth = 12

// Value sets all exported fields of the value that v points to. Each value depends on its path only, so that builds whose types differ give
// the fields that they share equal values.
func Value(v any) { set(reflect.ValueOf(v).Elem(), "", 0) }

// Variants returns a copy of a union for each of its exported fields, with that field alone set, by the field's name.
func Variants[T any]() map[string]*T {
	list := map[string]*T{}
	for _, f := range reflect.VisibleFields(reflect.TypeFor[T]()) {
		if !f.IsExported() {
			continue
		}
		x := new(T)
		set(reflect.ValueOf(x).Elem().FieldByIndex(f.Index), f.Name, 0)
		list[f.Name] = x
	}
	return list
}

func set(v reflect.Value, path string, depth int) {
	if depth > maxDepth {
		return
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(path))
	n := 1 + h.Sum32()%100 // fits into each kind of number
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprint("v", n))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n) / 4)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		set(v.Elem(), path, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		set(v.Index(0), path+"[]", depth+1)
	case reflect.Array:
		for i := range v.Len() {
			set(v.Index(i), fmt.Sprint(path, "[", i, "]"), depth+1)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		set(key, path+"{key}", depth+1)
		set(value, path+"{}", depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				set(v.Field(i), path+"."+f.Name, depth+1)
			}
		}
	}
}
